"""Time series of a day for the plots of the page."""

import dataclasses

from spindle_decisions.account.gap import Gap
from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.percentages import ratio
from spindle_decisions.account.series_point import SeriesPoint

BUCKET_MS = 10 * 60 * 1000


@dataclasses.dataclass
class TimeSeriesBucket:
    """Sums of one `BUCKET_MS` interval of the day."""

    finished: int = 0
    good: int = 0
    services_asked: int = 0
    services_delivered: int = 0
    needed: int = 0
    added: int = 0


class TimeSeries:
    """Sums the counts of one group in buckets of ten minutes."""

    def __init__(self, window: PageWindow) -> None:
        self.window = window
        length = max(0, window.data_end_ms() - window.from_ms)
        self.buckets = [TimeSeriesBucket() for _ in range(-(-length // BUCKET_MS))]

    def add(self, minute_ms: int, group: GroupSummary) -> None:
        """Add the counts of the minute that begins at `minute_ms`."""
        index = (minute_ms - self.window.from_ms) // BUCKET_MS
        if not 0 <= index < len(self.buckets):
            return
        bucket = self.buckets[index]
        bucket.finished += group.finished_count()
        bucket.good += group.answered
        bucket.services_asked += group.services_asked
        bucket.services_delivered += group.services_delivered
        bucket.needed += group.needed
        bucket.added += group.hedges + group.retries + group.restarts + group.probes

    def series(self, gaps: tuple[Gap, ...]) -> tuple[SeriesPoint, ...]:
        """Return the points in chronological order."""
        return tuple(self._point(index, gaps) for index in range(len(self.buckets)))

    def _point(self, index: int, gaps: tuple[Gap, ...]) -> SeriesPoint:
        bucket = self.buckets[index]
        from_ms = self.window.from_ms + index * BUCKET_MS
        to_ms = from_ms + BUCKET_MS
        return SeriesPoint(
            from_ms=from_ms,
            finished=bucket.finished,
            good_share=ratio(bucket.good, bucket.finished),
            coverage=ratio(bucket.services_delivered, bucket.services_asked),
            added_load=ratio(bucket.added, bucket.needed),
            gap=any(gap.from_ms < to_ms and gap.to_ms >= from_ms for gap in gaps),
        )
