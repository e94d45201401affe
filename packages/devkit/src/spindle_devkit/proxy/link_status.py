"""The totals of a link."""

import msgspec


class LinkStatus(msgspec.Struct, frozen=True):
    """Open connections and bytes forwarded since the start of the process."""

    link: str
    connections: int
    forward_bytes: int
    backward_bytes: int
