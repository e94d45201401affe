"""The status that control instances exchange about their instances."""

import msgspec

from spindle_decisions.wire.instance_report import InstanceReport
from spindle_decisions.wire.unresponsive_instance import UnresponsiveInstance


class ControlStatus(msgspec.Struct, frozen=True, tag="control-status"):
    """The instances whose heartbeats a control instance receives directly.

    `reports` contains what changed since the last status, or all instances if
    `full` is set. `digest` covers all direct instances; a receiver whose own records
    have another digest requests the full status. Instances that are not listed in
    `unresponsive` have sent a heartbeat recently.
    """

    control: str
    full: bool
    digest: str
    reports: tuple[InstanceReport, ...]
    unresponsive: tuple[UnresponsiveInstance, ...] = msgspec.field(name="silent")
