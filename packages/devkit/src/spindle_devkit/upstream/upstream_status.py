"""The status of an upstream."""

import msgspec


class UpstreamStatus(msgspec.Struct, frozen=True):
    """What an upstream tells about itself; its load may lag or mislead."""

    name: str
    service: str
    snapshots: tuple[str, ...]
    inflight: int
    slots: int
    draining: bool
