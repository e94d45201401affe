"""Timing and bounds of a control instance."""

TICK_S = 0.02
SLOW_SYNC_S = 0.1
STATUS_PERIOD_S = 1.0
NOTE_TIMEOUT_S = 5.0
MAX_HOPS = 2
MAX_PENDING_PROPOSALS = 10_000
