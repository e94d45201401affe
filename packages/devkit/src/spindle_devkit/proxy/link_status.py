"""The status of a link."""

import msgspec


class LinkStatus(msgspec.Struct, frozen=True):
    """The number of open connections and the bytes forwarded since the process start."""

    link: str
    connections: int
    forward_bytes: int
    backward_bytes: int
