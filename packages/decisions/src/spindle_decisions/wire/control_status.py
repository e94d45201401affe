"""What a control instance tells the others about its instances."""

import msgspec

from spindle_decisions.wire.instance_report import InstanceReport
from spindle_decisions.wire.unresponsive_instance import UnresponsiveInstance


class ControlStatus(msgspec.Struct, frozen=True, tag="control-status"):
    """The instances that a control instance hears directly.

    `reports` holds what changed since the last status, or everything when
    `full` is set. `digest` covers all direct instances; a receiver whose record
    has another digest asks for everything. Instances that are not listed in
    `silent` were heard lately.
    """

    control: str
    full: bool
    digest: str
    reports: tuple[InstanceReport, ...]
    silent: tuple[UnresponsiveInstance, ...]
