"""One bar of the distribution of latency."""

import msgspec


class LatencyBar(msgspec.Struct, frozen=True):
    """Requests that ended after more than the bar before and up to `up_to_us`."""

    up_to_us: int
    whole: int
    other: int
