"""Timing and bounds of the account."""

TICK_S = 1.0
CHECKPOINT_S = 10.0
FLUSH_TIMEOUT_S = 10.0
FLUSH_POLL_S = 0.05
STORE_QUEUE_REPORTS = 512
PATH_SUMMARIES = "/v1/summaries"
