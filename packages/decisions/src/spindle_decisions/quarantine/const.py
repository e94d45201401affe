"""Limits of the quarantine of requests."""

# Broken attempts after which a request is suspected, and requests of callers without any
# answer, of which some broke, after which it is blocked.
SUSPECT_BREAKS = 2
BLOCK_REQUESTS = 3
# Breaks kept for one request of a caller; more say nothing new.
MAX_BREAKS_PER_REQUEST = 2
# Seconds without a break after which a suspicion ends, and after which a blocked request is
# tried once more.
SUSPECT_TTL_S = 60.0
BLOCK_S = 3_600.0
# Seconds after a break after which crashed upstreams are likely back.
TRIAL_DELAY_S = 5.0
# Fingerprints kept, and of these sent to an instance that has others.
MAX_ENTRIES = 1_024
MAX_SENT_ENTRIES = 64
# Limit of the ids in messages.
MAX_ID_CHARS = 64
