"""Periods of the fleet."""

HELLO_INTERVAL_S = 0.4
# While no leader is known; votes need the addresses that hellos bring.
FAST_HELLO_INTERVAL_S = 0.08
# One hello in so many tells whom its sender heard.
HELLO_FULL_EVERY = 4
HEARTBEAT_INTERVAL_S = 0.4
# Until a plan is held.
FAST_HEARTBEAT_INTERVAL_S = 0.1
LIST_CHECK_INTERVAL_S = 0.1
# The least time between two reads after one that failed.
LIST_RETRY_INTERVAL_S = 0.5
# A control instance passes on only a list that is about as new as it should be.
LIST_PUSH_MAX_AGE_S = 6.0
COMPRESSION_LEVEL = 6
# An instance that holds a plan waits this long for word that it is the newest.
PLAN_CONFIRMATION_TTL_S = 1.5
PLAN_CONFIRMATION_TIMEOUT_S = 3.0
