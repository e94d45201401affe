"""Timing of the membership."""

SUSPECT_AFTER_S = 3.0
EXPIRE_AFTER_S = 30.0
# Instances whose last heartbeat is older are sent with their age.
MAX_FRESH_AGE_MS = 1_500
# One status message in this many is a full one.
FULL_STATUS_EVERY = 30
