"""The mesh address of an instance."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class InstanceAddress:
    """The name of an instance and its mesh address, as `tcp://host:port`."""

    name: str
    address: str
