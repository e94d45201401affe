"""Names of the metrics of the time line."""

METRIC_EVENTS = "spindle_timeline_events"
METRIC_DROPPED = "spindle_timeline_dropped"
