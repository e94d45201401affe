"""A process of the fleet and when it was heard."""

import msgspec

from spindle_decisions.wire.fleet_instance import FleetInstance


class ObservedInstance(msgspec.Struct, frozen=True, array_like=True):
    """A process and the milliseconds since anybody heard it directly."""

    instance: FleetInstance
    age_ms: int
