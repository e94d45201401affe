"""The answer of a control instance to the heartbeat of an entry instance."""

import msgspec

from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class ControlBeat(msgspec.Struct, frozen=True, tag="control-beat"):
    """What the control instance holds and whom it heard.

    `controls` is left out if they are those that the receiver was told last.
    `quorum_age_ms` is the age of its last contact with a quorum. `entries` counts
    the entry instances that live.
    """

    control: str
    controls: tuple[ObservedInstance, ...] | None
    entries: int
    plan_version: int
    quorum_age_ms: int
    list_digest: str
    list_age_ms: int
    peers: tuple[FleetInstance, ...] | None = None
