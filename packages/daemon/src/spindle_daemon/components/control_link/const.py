"""Timing and limits of the communication with the control instances."""

HEARTBEAT_INTERVAL_S = 1.0
FAST_HEARTBEAT_INTERVAL_S = 0.25
HEARTBEAT_JITTER_RATIO = 0.2
# In every n-th round of heartbeats, one of the other control instances gets one too.
SECONDARY_HEARTBEAT_EVERY = 4
ACK_TIMEOUT_S = 2.5
RECENT_CONTACT_S = 2.5
FAILBACK_DELAY_S = 30.0
STARTUP_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 1.0
PROPOSE_RETRY_DELAY_S = 0.1
PROPOSE_ATTEMPT_TIMEOUT_S = 1.0
MAX_CATALOG_BYTES = 64 * 1024 * 1024
