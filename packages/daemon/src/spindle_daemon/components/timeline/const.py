"""Names of the metrics of the timeline."""

METRIC_EVENTS = "spindle_timeline_events"
METRIC_DROPPED = "spindle_timeline_dropped"
