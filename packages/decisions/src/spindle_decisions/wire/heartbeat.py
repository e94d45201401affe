"""The heartbeat of an instance to its control instance."""

import msgspec

from spindle_decisions.wire.live_instance import LiveInstance


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """An instance tells that it lives and what it holds.

    The incarnation grows with each start of the instance. `live_digest` is the
    digest of the membership it holds, so that an answer repeats the list only
    when it changed. `attached` is false while the instance only asks around.
    """

    live: LiveInstance
    config_version: int
    config_digest: str
    live_digest: str
    attached: bool
