"""The mesh address of a control instance."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ControlAddress:
    """A control instance by name, at `tcp://host:port`."""

    name: str
    address: str
