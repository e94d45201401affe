"""The settings of one agreement node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RaftSettings:
    """Name, peers, timing and limits of a node.

    `name` is the member name of this instance and `peers` are the names of the
    others, used to ask for admission when the data folder knows no membership.
    A follower waits a random time between `election_min_s` and `election_max_s`
    without word from a leader before it asks whether it could be elected, and
    refuses its vote to others for `election_min_s` after such word. `lease_s`
    is the age of the last contact with a quorum after which the node calls
    itself stale. `keep_entries` entries stay in memory behind a snapshot, so
    that a member which is only a little behind needs no snapshot. With
    `auto_join` a leader takes in whoever asks, and takes a voter out that was silent
    for `retire_s` while at least `retire_keeps` others are live. With `quick_start` a
    node asks for an election soon after its start; the pre-vote keeps that from
    disturbing a leader.
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
