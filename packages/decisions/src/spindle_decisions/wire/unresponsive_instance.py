"""An instance without a recent heartbeat."""

import msgspec


class UnresponsiveInstance(msgspec.Struct, frozen=True):
    """The name of an instance and the milliseconds since its last heartbeat."""

    instance: str
    age_ms: int
