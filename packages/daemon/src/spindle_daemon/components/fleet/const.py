"""Periods of the fleet."""

HELLO_S = 0.4
# While no leader is known; votes need the addresses that hellos bring.
HELLO_HASTY_S = 0.08
# One hello in so many tells whom its sender heard.
HELLO_FULL_EVERY = 4
BEAT_S = 0.4
# Until a plan is held.
BEAT_HASTY_S = 0.1
READ_TICK_S = 0.1
# The least time between two reads after one that failed.
READ_RETRY_S = 0.5
# A control instance passes on only a list that is about as new as it should be.
LIST_NEWS_S = 6.0
COMPRESSION_LEVEL = 6
# An instance that holds a plan waits this long for word that it is the newest.
PLAN_SURE_S = 1.5
PLAN_SURE_WAIT_S = 3.0
