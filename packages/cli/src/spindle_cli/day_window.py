"""The bounds of a calendar day in a time zone."""

import datetime
import zoneinfo

from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.util.units import MS_PER_S

S_PER_MINUTE = 60


def day_window(day: str, timezone: zoneinfo.ZoneInfo, now_ms: int) -> PageWindow:
    """Return the window of a day; an empty `day` is the current one.

    A day with a change of daylight saving time has 23 or 25 hours. Raises
    `BadRequestError` for a day that cannot be read or has not begun.
    """
    now = datetime.datetime.fromtimestamp(now_ms / MS_PER_S, timezone)
    try:
        date = datetime.date.fromisoformat(day) if day else now.date()
        following = date + datetime.timedelta(days=1)
    except (ValueError, OverflowError):
        raise BadRequestError(f"day is {day!r}, expected YYYY-MM-DD") from None
    start = _midnight(date, timezone)
    offset = start.utcoffset() or datetime.timedelta()
    window = PageWindow(
        day=date.isoformat(),
        timezone=timezone.key,
        offset_minutes=int(offset.total_seconds()) // S_PER_MINUTE,
        from_ms=_ms(start),
        to_ms=_ms(_midnight(following, timezone)),
        asked_ms=now_ms,
    )
    if window.from_ms > now_ms:
        raise BadRequestError(f"day {window.day} has not begun")
    return window


def _midnight(date: datetime.date, timezone: zoneinfo.ZoneInfo) -> datetime.datetime:
    return datetime.datetime.combine(date, datetime.time(), timezone)


def _ms(moment: datetime.datetime) -> int:
    return int(moment.timestamp() * MS_PER_S)
