"""One bar of the latency distribution."""

import msgspec


class LatencyBar(msgspec.Struct, frozen=True):
    """The requests with a latency above the previous bar's bound and up to `up_to_us`.

    `whole` counts complete answers, `other` all other outcomes.
    """

    up_to_us: int
    whole: int
    other: int
