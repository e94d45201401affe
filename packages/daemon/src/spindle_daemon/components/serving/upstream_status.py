"""The answer of an upstream to a status request."""

import msgspec


class UpstreamStatus(msgspec.Struct, frozen=True):
    """The state that an upstream reports about itself."""

    name: str
    service: str
    snapshots: tuple[str, ...]
    inflight: int
    slots: int
    draining: bool
