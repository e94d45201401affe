"""One process of the fleet."""

import msgspec


class FleetInstance(msgspec.Struct, frozen=True, array_like=True):
    """Name, role, data centre and mesh address of a process, and which start it is."""

    name: str
    role: str
    data_center: str
    address: str
    incarnation: int
