"""What a control instance heard from one instance."""

import msgspec

from spindle_decisions.wire.live_instance import LiveInstance


class InstanceReport(msgspec.Struct, frozen=True):
    """An instance, the configuration it confirmed, and how long ago it was heard."""

    live: LiveInstance
    config_version: int
    config_digest: str
    age_ms: int
    suspected: bool
