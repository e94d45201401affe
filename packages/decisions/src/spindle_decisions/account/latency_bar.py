"""One bar of the latency distribution."""

import msgspec


class LatencyBar(msgspec.Struct, frozen=True):
    """Request counts above the bound of the previous bar, up to and including `up_to_us`."""

    up_to_us: int
    whole: int
    other: int
