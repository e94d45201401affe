"""Constants of the account: intervals, limits and names of metrics."""

TICK_INTERVAL_S = 1.0
CHECKPOINT_INTERVAL_S = 10.0
FLUSH_TIMEOUT_S = 10.0
FLUSH_POLL_INTERVAL_S = 0.05
STORE_QUEUE_REPORTS = 512
PATH_SUMMARIES = "/v1/summaries"
MAX_REPLY_HOURS = 6

LABEL_RESULT = "result"
METRIC_PENDING = "spindle_account_pending_minutes"
METRIC_PENDING_BYTES = "spindle_account_pending_bytes"
METRIC_GIVEN_UP = "spindle_account_given_up_minutes"
METRIC_MOVES = "spindle_account_control_moves"
METRIC_REPORTS = "spindle_account_reports"
