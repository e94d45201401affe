"""One point of the time series of a day."""

import msgspec


class SeriesPoint(msgspec.Struct, frozen=True):
    """Figures of the requests that ended in one interval of the day.

    A ratio is `None` if there is nothing to divide by. `gap` is set if counts are
    missing for part of the interval.
    """

    from_ms: int
    finished: int
    good_share: float | None
    coverage: float | None
    added_load: float | None
    gap: bool
