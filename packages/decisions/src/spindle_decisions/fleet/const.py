"""Times and bounds of the fleet."""

# A process that nobody heard for this long does not count as live.
LIVE_S = 3.0
# Entry instances count longer towards shares, so that a short cut frees nothing.
SHARE_S = 8.0
FORGET_S = 30.0
# Entry instances of a data centre that own shards; word of them comes every 1.6 s.
PEER_S = 4.0
# Silence after which a link is dialled anew.
REDIAL_S = 1.2
# The same for a control instance that gets only some of the beats.
REDIAL_OTHERS_S = 4.0
# Control instances that are not the first of an entry instance get one beat in so many,
# until the word of a quorum is this old.
BEAT_OTHERS_EVERY = 4
QUORUM_DOUBT_S = 0.6
# The control instances that an entry instance beats to.
BEAT_TARGETS = 3
# Age of the list of upstreams at which the leader, the others by rank, and at last
# the entry instances read it.
READ_LEADER_S = 0.9
READ_FOLLOWER_S = 2.0
READ_RANK_S = 0.5
READ_ENTRY_S = 4.5
ROLE_CONTROL = "control"
ROLE_ENTRY = "entry"
