"""The status of an upstream."""

import msgspec


class UpstreamStatus(msgspec.Struct, frozen=True):
    """The status that an upstream reports; the load may be delayed or false."""

    name: str
    service: str
    snapshots: tuple[str, ...]
    inflight: int
    slots: int
    draining: bool
