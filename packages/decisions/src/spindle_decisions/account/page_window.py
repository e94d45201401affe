"""The stretch of time that a page covers."""

import msgspec

from spindle_decisions.account.minute_summary import MS_PER_MINUTE

LATE_ARRIVAL_MS = 30_000


class PageWindow(msgspec.Struct, frozen=True):
    """One day of the owner's calendar.

    `from_ms` and `to_ms` bound the day in Unix milliseconds, `to_ms` not
    included. `asked_ms` is when the page was asked for; a day that is not over
    is judged up to then. `offset_minutes` is how far the owner's clock is ahead
    of UTC.
    """

    day: str
    timezone: str
    offset_minutes: int
    from_ms: int
    to_ms: int
    asked_ms: int

    def is_over(self) -> bool:
        """Tell whether the day has ended and its last summaries had time to arrive."""
        return self.asked_ms >= self.to_ms + LATE_ARRIVAL_MS

    def has_minute(self, minute: int) -> bool:
        """Tell whether a minute of Unix time belongs to the day."""
        return self.from_ms <= minute * MS_PER_MINUTE < self.to_ms

    def data_end_ms(self) -> int:
        """Return the end of what the page can know."""
        return min(self.to_ms, self.asked_ms)
