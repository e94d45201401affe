"""Index of the summary revisions on the disk of a control instance."""

from collections.abc import Iterable

from spindle_decisions.account.day import day_of_minute
from spindle_decisions.account.minute_summary import MinuteSummary, decode_summary
from spindle_decisions.exceptions import FrameError

MAX_INDEXED_DAYS = 3
SummaryKey = tuple[str, int, int]


class SummaryIndex:
    """Tracks which revision of each summary is on disk.

    Only the `MAX_INDEXED_DAYS` days loaded last are kept in memory; an older day
    has to be loaded from disk again before use.
    """

    def __init__(self) -> None:
        self.days: dict[str, dict[SummaryKey, int]] = {}

    def has_day(self, day: str) -> bool:
        """Return whether the revisions of a day are in memory."""
        return day in self.days

    def load_day(self, day: str, summaries: Iterable[bytes]) -> None:
        """Load the index of a day from its encoded summaries; unreadable ones are skipped."""
        self.days[day] = {}
        while len(self.days) > MAX_INDEXED_DAYS:
            del self.days[next(iter(self.days))]
        for data in summaries:
            try:
                summary = decode_summary(data)
            except FrameError:
                continue
            self.add(summary)

    def is_newer(self, summary: MinuteSummary) -> bool:
        """Return whether a summary has a higher revision than the one on disk."""
        written = self.days[day_of_minute(summary.minute)].get(_key(summary), 0)
        return summary.revision > written

    def add(self, summary: MinuteSummary) -> None:
        """Record that a summary is on disk."""
        day = self.days[day_of_minute(summary.minute)]
        key = _key(summary)
        day[key] = max(day.get(key, 0), summary.revision)


def _key(summary: MinuteSummary) -> SummaryKey:
    return (summary.instance, summary.incarnation, summary.minute)
