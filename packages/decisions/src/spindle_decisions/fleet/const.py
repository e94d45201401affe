"""Times and limits of the fleet."""

# Silence after which a process does not count as live.
LIVENESS_TIMEOUT_S = 3.0
# Silence after which an entry instance does not count towards connection shares. It is
# longer, so that a short network interruption does not free the connections.
SHARE_LIVENESS_TIMEOUT_S = 8.0
# Silence after which a process is removed from the fleet table.
EXPIRE_AFTER_S = 30.0
# Silence after which an entry instance owns no shards of its data centre; reports of
# entry instances arrive every 1.6 s.
OWNER_LIVENESS_TIMEOUT_S = 4.0
# Silence after which a connection is opened anew.
RECONNECT_TIMEOUT_S = 1.2
# The same for a control instance that gets only some of the heartbeats.
RECONNECT_SECONDARY_TIMEOUT_S = 4.0
# Secondary control instances of an entry instance get every n-th heartbeat, and all of
# them once the last contact with a quorum is older than `QUORUM_STALE_S`.
SECONDARY_HEARTBEAT_EVERY = 4
QUORUM_STALE_S = 0.6
# Number of control instances that an entry instance sends heartbeats to.
HEARTBEAT_TARGETS = 3
# Age of the list of upstreams at which a process reads it again: the leader first, then
# the other control instances by rank, and the entry instances last.
LIST_REFRESH_LEADER_S = 0.9
LIST_REFRESH_FOLLOWER_S = 2.0
LIST_REFRESH_RANK_STEP_S = 0.5
LIST_REFRESH_ENTRY_S = 4.5
# Time after the start after which a majority of the seeds bootstraps without the others. All
# start within 0.3 s of each other, slow machines included.
ABSENT_SEED_TIMEOUT_S = 4.0
ROLE_CONTROL = "control"
ROLE_ENTRY = "entry"
