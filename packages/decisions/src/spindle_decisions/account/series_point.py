"""One point of the course of a day."""

import msgspec


class SeriesPoint(msgspec.Struct, frozen=True):
    """What ended in a stretch of the day; `gap` when some of it is not known.

    A share is `None` where it rests on nothing.
    """

    from_ms: int
    finished: int
    good_share: float | None
    coverage: float | None
    added_load: float | None
    gap: bool
