"""The mesh address of an instance."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InstanceAddress:
    """An instance by name, at `tcp://host:port`."""

    name: str
    address: str
