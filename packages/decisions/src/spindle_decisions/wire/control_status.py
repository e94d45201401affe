"""What a control instance tells the others about its instances."""

import msgspec

from spindle_decisions.wire.instance_report import InstanceReport


class ControlStatus(msgspec.Struct, frozen=True, tag="control-status"):
    """The instances that a control instance hears directly."""

    control: str
    reports: tuple[InstanceReport, ...]
