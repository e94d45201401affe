"""Limits of the agreement."""

MAX_MEMBERS = 7
MAX_JOIN_REQUESTS = 32
FORCE_WINDOW_S = 30.0
