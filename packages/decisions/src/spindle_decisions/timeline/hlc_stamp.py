"""Timestamp of a hybrid logical clock."""

import msgspec


class HlcStamp(msgspec.Struct, frozen=True, order=True):
    """Wall clock part in Unix milliseconds and a counter for stamps of equal wall time."""

    wall_ms: int
    counter: int
