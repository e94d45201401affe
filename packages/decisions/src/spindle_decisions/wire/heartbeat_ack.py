"""The answer of a control instance to a heartbeat."""

import msgspec

from spindle_decisions.wire.live_instance import LiveInstance


class HeartbeatAck(msgspec.Struct, frozen=True, tag="heartbeat-ack"):
    """The versions that a control instance has, and the instances it regards as live.

    `stale` is true if it has had no contact with a quorum for the length of a lease;
    its entry instances then move to another control instance. `quorum_age_ms` is the
    time since the last contact. `live` is empty if the heartbeat already had the
    digest `live_digest`.
    """

    control: str
    data_center: str
    stale: bool
    quorum_age_ms: int
    config_version: int
    config_digest: str
    live_digest: str
    live: tuple[LiveInstance, ...]
