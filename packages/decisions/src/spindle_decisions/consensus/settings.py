"""The settings of one Raft node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RaftSettings:
    """Name, peers, timing and limits of a node.

    `name` is the member name of this instance. `peers` are the names of the others,
    which receive join requests while this node is not a voter. A follower waits a
    random time between `election_min_s` and `election_max_s` without leader contact
    before it starts a pre-vote, and refuses its vote to others for `election_min_s`
    after such contact. `lease_s` is the age of the last quorum contact after which the
    node reports itself as stale, and the age of the last contact with a member after
    which that member does not count as live. `retained_log_entries` is the number of
    entries that stay in memory behind a snapshot, so that a member which lags only a
    little needs no snapshot.

    With `auto_join` the leader adds every instance that sends a join request, and
    removes a member without contact for `unresponsive_removal_s`, a voter only while at
    least `removal_min_live_voters` others are live. With `quick_start` a node starts its
    first pre-vote soon after its start; the pre-vote does not disrupt an existing leader.
    """

    name: str
    peers: tuple[str, ...] = ()
    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    lease_s: float = 2.0
    max_append_bytes: int = 256 * 1024
    max_inflight_entries: int = 4096
    retained_log_entries: int = 1024
    auto_join: bool = False
    quick_start: bool = False
    unresponsive_removal_s: float = 4.0
    removal_min_live_voters: int = 3
