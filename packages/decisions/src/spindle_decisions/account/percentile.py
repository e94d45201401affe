"""One latency percentile."""

import msgspec


class Percentile(msgspec.Struct, frozen=True):
    """The latency in microseconds within which `percent` percent of all requests ended.

    `all_us` counts every outcome, `whole_us` only complete answers, both relative
    to all requests of the day. `None` means that fewer than `percent` percent
    of the requests ended that way.
    """

    percent: float
    all_us: int | None
    whole_us: int | None
