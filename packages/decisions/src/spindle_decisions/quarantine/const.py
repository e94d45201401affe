"""Limits of the quarantine of requests."""

# Broken attempts after which a request is suspected, and crashes, one after the other, that
# it was part of without any answer, after which it is blocked.
SUSPECT_BREAKS = 2
BLOCK_CRASHES = 3
# Upstreams kept for one crash; more say nothing new.
MAX_UPSTREAMS_PER_CRASH = 2
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
