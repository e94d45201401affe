"""A process of the fleet and the time since it was last seen."""

import msgspec

from spindle_decisions.wire.fleet_instance import FleetInstance


class ObservedInstance(msgspec.Struct, frozen=True, array_like=True):
    """A process and the milliseconds since a control instance last saw it directly."""

    instance: FleetInstance
    age_ms: int
