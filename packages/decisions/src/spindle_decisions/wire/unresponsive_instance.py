"""An instance that was not heard lately."""

import msgspec


class UnresponsiveInstance(msgspec.Struct, frozen=True):
    """The name of an instance and how long ago it was last heard."""

    instance: str
    age_ms: int
