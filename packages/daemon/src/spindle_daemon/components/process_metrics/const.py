"""Names of the metrics of a process and the interval of its event loop monitor."""

LOOP_MONITOR_INTERVAL_S = 0.01
METRIC_FRAMES = "spindle_mesh_frames"
METRIC_BYTES = "spindle_mesh_bytes"
METRIC_BAD_FRAMES = "spindle_mesh_bad_frames"
METRIC_DROPPED = "spindle_mesh_dropped_frames"
METRIC_RECONNECTS = "spindle_mesh_reconnects"
METRIC_STALL = "spindle_loop_longest_stall_seconds"
METRIC_CONFIG_VERSION = "spindle_config_version"
METRIC_CONFIG_AGE = "spindle_config_age_seconds"
LABEL_DIRECTION = "direction"
LABEL_CAUSE = "cause"
