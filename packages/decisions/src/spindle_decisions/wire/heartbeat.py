"""The heartbeat of an instance to its control instance."""

import msgspec

from spindle_decisions.wire.live_instance import LiveInstance


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """The state of a live instance and the versions that it has.

    The incarnation in `live` grows with each start of the instance. `live_digest` is
    the digest of the membership that the sender knows, so that the answer contains the
    list only if it has changed. `attached` is true only if the receiver is the control
    instance that the sender has chosen; only that one registers the heartbeat.
    """

    live: LiveInstance
    config_version: int
    config_digest: str
    live_digest: str
    attached: bool
