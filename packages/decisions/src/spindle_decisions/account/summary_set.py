"""Deduplicated summaries of a day."""

from collections.abc import Iterable

from spindle_decisions.account.minute_summary import MinuteSummary, decode_summary
from spindle_decisions.exceptions import FrameError


class SummarySet:
    """Collects summaries from any number of control instances, in any order.

    Of several with the same instance, incarnation and minute the one with the
    highest revision is kept. Two different summaries of the same revision are a
    conflict: the first one is kept. Conflicts and unreadable summaries are counted.
    """

    def __init__(self) -> None:
        self.newest: dict[tuple[str, int, int], MinuteSummary] = {}
        self.unreadable = 0
        self.conflicts = 0

    def add_all(self, summaries: Iterable[bytes]) -> None:
        """Add encoded summaries."""
        for data in summaries:
            try:
                summary = decode_summary(data)
            except FrameError:
                self.unreadable += 1
                continue
            self.add(summary)

    def add(self, summary: MinuteSummary) -> None:
        """Add one summary."""
        key = (summary.instance, summary.incarnation, summary.minute)
        newest = self.newest.get(key)
        if newest is None or summary.revision > newest.revision:
            self.newest[key] = summary
        elif summary.revision == newest.revision and summary != newest:
            self.conflicts += 1

    def problems(self) -> tuple[str, ...]:
        """Return a sentence for each kind of fault in the summaries."""
        found: list[str] = []
        if self.unreadable:
            found.append(f"{self.unreadable} summaries could not be read")
        if self.conflicts:
            found.append(f"{self.conflicts} summaries contradict another of the same revision")
        return tuple(found)
