"""One process of the fleet."""

import msgspec


class FleetInstance(msgspec.Struct, frozen=True, array_like=True):
    """A process of the fleet with its role, data centre, mesh address and incarnation."""

    name: str
    role: str
    data_center: str
    address: str
    incarnation: int
