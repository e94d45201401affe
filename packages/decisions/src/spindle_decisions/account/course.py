"""The course of a day for the plots of the page."""

import dataclasses

from spindle_decisions.account.gap import Gap
from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.series_point import SeriesPoint
from spindle_decisions.account.shares import share

POINT_MS = 10 * 60 * 1000


@dataclasses.dataclass
class CoursePoint:
    """The sums of one stretch of the day."""

    finished: int = 0
    good: int = 0
    services_asked: int = 0
    services_delivered: int = 0
    needed: int = 0
    added: int = 0


class Course:
    """Sums one group in stretches of ten minutes."""

    def __init__(self, window: PageWindow) -> None:
        self.window = window
        length = max(0, window.horizon_ms() - window.from_ms)
        self.points = [CoursePoint() for _ in range(-(-length // POINT_MS))]

    def add(self, minute_ms: int, group: GroupSummary) -> None:
        """Add what was counted in the minute that begins at `minute_ms`."""
        index = (minute_ms - self.window.from_ms) // POINT_MS
        if not 0 <= index < len(self.points):
            return
        point = self.points[index]
        point.finished += group.finished()
        point.good += group.answered
        point.services_asked += group.services_asked
        point.services_delivered += group.services_delivered
        point.needed += group.needed
        point.added += group.hedges + group.retries + group.restarts + group.probes

    def series(self, gaps: tuple[Gap, ...]) -> tuple[SeriesPoint, ...]:
        """Return the points in order of time."""
        return tuple(self._point(index, gaps) for index in range(len(self.points)))

    def _point(self, index: int, gaps: tuple[Gap, ...]) -> SeriesPoint:
        point = self.points[index]
        from_ms = self.window.from_ms + index * POINT_MS
        to_ms = from_ms + POINT_MS
        return SeriesPoint(
            from_ms=from_ms,
            finished=point.finished,
            good_share=share(point.good, point.finished),
            coverage=share(point.services_delivered, point.services_asked),
            added_load=share(point.added, point.needed),
            gap=any(gap.from_ms < to_ms and gap.to_ms >= from_ms for gap in gaps),
        )
