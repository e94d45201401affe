"""Limits of the consensus."""

MAX_MEMBERS = 7
MAX_JOIN_REQUESTS = 32
# Time for which a node campaigns under a forced membership before it drops it.
FORCED_MEMBERSHIP_WINDOW_S = 30.0
