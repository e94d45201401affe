"""What a control instance knows to be on its disk."""

from collections.abc import Iterable

from spindle_decisions.account.day import day_of_minute
from spindle_decisions.account.day_ledger import DayLedger
from spindle_decisions.account.minute_summary import MinuteSummary, decode_summary
from spindle_decisions.exceptions import FrameError

MAX_KNOWN_DAYS = 3


class SummaryLedger:
    """Tells newer summaries from those already written, for the days in use.

    The revisions of the last few days used are held in memory; a day that is
    used again is learned again from the disk.
    """

    def __init__(self, max_day_bytes: int) -> None:
        self.max_day_bytes = max_day_bytes
        self.days: dict[str, DayLedger] = {}

    def knows(self, day: str) -> bool:
        """Tell whether the revisions of a day are in memory."""
        return day in self.days

    def learn(self, day: str, summaries: Iterable[bytes]) -> None:
        """Take in the summaries of a day from the disk; unreadable ones count as absent."""
        self.days[day] = DayLedger()
        while len(self.days) > MAX_KNOWN_DAYS:
            del self.days[next(iter(self.days))]
        for data in summaries:
            try:
                summary = decode_summary(data)
            except FrameError:
                continue
            self.add(summary, len(data))

    def is_newer(self, summary: MinuteSummary) -> bool:
        """Tell whether a summary has a higher revision than the one written."""
        written = self.days[day_of_minute(summary.minute)].revisions.get(_key(summary), 0)
        return summary.revision > written

    def has_room(self, day: str, size: int) -> bool:
        """Tell whether a summary of `size` bytes may still be written to a day."""
        return self.days[day].bytes + size <= self.max_day_bytes

    def add(self, summary: MinuteSummary, size: int) -> None:
        """Note that a summary is on disk."""
        day = self.days[day_of_minute(summary.minute)]
        key = _key(summary)
        day.revisions[key] = max(day.revisions.get(key, 0), summary.revision)
        day.bytes += size


def _key(summary: MinuteSummary) -> tuple[str, int, int]:
    return (summary.instance, summary.incarnation, summary.minute)
