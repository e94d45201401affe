"""The state of one instance as known to a control instance."""

import msgspec

from spindle_decisions.wire.live_instance import LiveInstance


class InstanceReport(msgspec.Struct, frozen=True):
    """An instance, the configuration it confirmed, and the age of its last heartbeat."""

    live: LiveInstance
    config_version: int
    config_digest: str
    age_ms: int
    suspected: bool
