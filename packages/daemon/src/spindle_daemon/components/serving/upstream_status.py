"""The status of an upstream."""

import msgspec


class UpstreamStatus(msgspec.Struct, frozen=True):
    """What an upstream says about itself."""

    name: str
    service: str
    snapshots: tuple[str, ...]
    inflight: int
    slots: int
    draining: bool
