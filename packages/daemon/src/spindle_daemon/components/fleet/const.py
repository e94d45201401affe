"""Intervals, timeouts and limits of the fleet."""

HELLO_INTERVAL_S = 0.4
# Hello interval while no leader is known: votes need the addresses that hellos contain.
FAST_HELLO_INTERVAL_S = 0.08
# How long the first membership is sent once absent seeds are no longer waited for. A seed that
# starts later is not bootstrapping, and gets the membership from the log.
FIRST_MEMBERS_SENT_S = 60.0
# Every n-th hello contains the processes that its sender observed.
HELLO_FULL_EVERY = 4
HEARTBEAT_INTERVAL_S = 0.4
# Heartbeat interval until a plan was confirmed.
FAST_HEARTBEAT_INTERVAL_S = 0.1
LIST_CHECK_INTERVAL_S = 0.1
# Minimum time between a failed read and the next one.
LIST_RETRY_INTERVAL_S = 0.5
# A control instance pushes its list only up to this age; an older one missed its refresh.
LIST_PUSH_MAX_AGE_S = 6.0
# zlib level for lists of upstreams.
COMPRESSION_LEVEL = 6
# Time for which the confirmation that the plan is the newest remains valid.
PLAN_CONFIRMATION_TTL_S = 1.5
# Time after which an instance uses a plan that no control instance confirmed.
PLAN_CONFIRMATION_TIMEOUT_S = 3.0
