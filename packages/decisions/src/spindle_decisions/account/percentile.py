"""One percentile of latency."""

import msgspec


class Percentile(msgspec.Struct, frozen=True):
    """The latency in microseconds within which a share of all requests ended.

    `all_us` counts every end, `whole_us` only whole answers, both over all
    requests of the day. `None` means never: more requests than the rest had no
    such end.
    """

    percent: float
    all_us: int | None
    whole_us: int | None
