"""Timing and bounds of the link to the control instances."""

HEARTBEAT_S = 0.5
ACK_TIMEOUT_S = 1.5
MOVE_BACK_S = 10.0
STARTUP_WAIT_S = 2.0
FETCH_TIMEOUT_S = 1.0
PROPOSE_RETRY_S = 0.1
PROPOSE_TRY_S = 1.0
MAX_CATALOG_BYTES = 64 * 1024 * 1024
