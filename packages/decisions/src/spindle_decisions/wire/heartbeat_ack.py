"""The answer of a control instance to a heartbeat."""

import msgspec

from spindle_decisions.wire.live_instance import LiveInstance


class HeartbeatAck(msgspec.Struct, frozen=True, tag="heartbeat-ack"):
    """What a control instance holds, and which instances it believes to live.

    `stale` is true when it heard no quorum for a lease; its entries then move
    to another control instance. `live` is empty when the digest in the
    heartbeat was already `live_digest`.
    """

    control: str
    data_center: str
    stale: bool
    quorum_age_ms: int
    config_version: int
    config_digest: str
    live_digest: str
    live: tuple[LiveInstance, ...]
