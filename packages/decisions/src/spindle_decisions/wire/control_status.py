"""What a control instance tells the others about its instances."""

import msgspec

from spindle_decisions.wire.live_instance import LiveInstance


class ControlStatus(msgspec.Struct, frozen=True, tag="control-status"):
    """The instances that a control instance hears directly."""

    control: str
    data_center: str
    config_version: int
    config_digest: str
    stale: bool
    live: tuple[LiveInstance, ...]
