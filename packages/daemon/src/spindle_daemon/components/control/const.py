"""Timing and limits of a control instance."""

TICK_INTERVAL_S = 0.02
SLOW_SYNC_THRESHOLD_S = 0.1
STATUS_INTERVAL_S = 1.0
NOTE_TIMEOUT_S = 5.0
# How many times a proposal may be forwarded between control instances.
MAX_HOPS = 2
MAX_PENDING_PROPOSALS = 10_000
