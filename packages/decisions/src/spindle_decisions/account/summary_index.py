"""What a control instance knows to be on its disk."""

from collections.abc import Iterable

from spindle_decisions.account.day import day_of_minute
from spindle_decisions.account.minute_summary import MinuteSummary, decode_summary
from spindle_decisions.exceptions import FrameError

MAX_INDEXED_DAYS = 3
SummaryKey = tuple[str, int, int]


class SummaryIndex:
    """Tells newer summaries from those already written, for the days in use.

    The revisions of the last few days used are held in memory; a day that is
    used again is learned again from the disk.
    """

    def __init__(self) -> None:
        self.days: dict[str, dict[SummaryKey, int]] = {}

    def has_day(self, day: str) -> bool:
        """Tell whether the revisions of a day are in memory."""
        return day in self.days

    def load_day(self, day: str, summaries: Iterable[bytes]) -> None:
        """Take in the summaries of a day from the disk; unreadable ones count as absent."""
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
        """Tell whether a summary has a higher revision than the one written."""
        written = self.days[day_of_minute(summary.minute)].get(_key(summary), 0)
        return summary.revision > written

    def add(self, summary: MinuteSummary) -> None:
        """Note that a summary is on disk."""
        day = self.days[day_of_minute(summary.minute)]
        key = _key(summary)
        day[key] = max(day.get(key, 0), summary.revision)


def _key(summary: MinuteSummary) -> SummaryKey:
    return (summary.instance, summary.incarnation, summary.minute)
