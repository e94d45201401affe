"""Times and bounds of the fleet."""

# A process that nobody heard for this long does not count as live.
LIVENESS_TIMEOUT_S = 3.0
# Entry instances count longer towards shares, so that a short cut frees nothing.
SHARE_LIVENESS_TIMEOUT_S = 8.0
EXPIRE_AFTER_S = 30.0
# Entry instances of a data centre that own shards; word of them comes every 1.6 s.
OWNER_LIVENESS_TIMEOUT_S = 4.0
# Silence after which a link is dialled anew.
RECONNECT_TIMEOUT_S = 1.2
# The same for a control instance that gets only some of the beats.
RECONNECT_SECONDARY_TIMEOUT_S = 4.0
# Control instances that are not the first of an entry instance get one beat in so many,
# until the word of a quorum is this old.
SECONDARY_HEARTBEAT_EVERY = 4
QUORUM_STALE_S = 0.6
# The control instances that an entry instance beats to.
HEARTBEAT_TARGETS = 3
# Age of the list of upstreams at which the leader, the others by rank, and at last
# the entry instances read it.
LIST_REFRESH_LEADER_S = 0.9
LIST_REFRESH_FOLLOWER_S = 2.0
LIST_REFRESH_RANK_STEP_S = 0.5
LIST_REFRESH_ENTRY_S = 4.5
ROLE_CONTROL = "control"
ROLE_ENTRY = "entry"
