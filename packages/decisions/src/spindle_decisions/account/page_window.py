"""The time window that a page covers."""

import msgspec

from spindle_decisions.account.minute_summary import MS_PER_MINUTE

# Time that a summary may take to arrive before it counts as missing.
LATE_ARRIVAL_MS = 30_000


class PageWindow(msgspec.Struct, frozen=True):
    """One calendar day in the time zone `timezone`.

    `from_ms` (inclusive) and `to_ms` (exclusive) bound the day in Unix
    milliseconds. `asked_ms` is the time at which the page was requested; a day
    that is not over is evaluated up to then. `offset_minutes` is how far the time
    zone is ahead of UTC.
    """

    day: str
    timezone: str
    offset_minutes: int
    from_ms: int
    to_ms: int
    asked_ms: int

    def is_over(self) -> bool:
        """Return whether the day has ended and its last summaries have had time to arrive."""
        return self.asked_ms >= self.to_ms + LATE_ARRIVAL_MS

    def has_minute(self, minute: int) -> bool:
        """Return whether a Unix minute belongs to the day."""
        return self.from_ms <= minute * MS_PER_MINUTE < self.to_ms

    def data_end_ms(self) -> int:
        """Return the end of the known data, in Unix milliseconds."""
        return min(self.to_ms, self.asked_ms)
