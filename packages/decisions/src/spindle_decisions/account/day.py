"""Conversion between UTC days, minutes and times of day."""

import datetime

from spindle_decisions.account.minute_summary import MS_PER_MINUTE

MINUTES_PER_DAY = 24 * 60
_EPOCH = datetime.date(1970, 1, 1)


def first_minute_of(day: datetime.date) -> int:
    """Return the first minute of a UTC day, as Unix time in minutes."""
    return (day - _EPOCH).days * MINUTES_PER_DAY


def day_of_minute(minute: int) -> str:
    """Return the UTC day of a Unix minute as `YYYY-MM-DD`."""
    days = minute // MINUTES_PER_DAY
    return (_EPOCH + datetime.timedelta(days=days)).isoformat()


def format_time_of_day(wall_ms: int, offset_minutes: int = 0) -> str:
    """Format the time of day as `HH:MM:SS`, shifted `offset_minutes` ahead of UTC."""
    minutes = wall_ms // MS_PER_MINUTE + offset_minutes
    hour, minute = divmod(minutes % MINUTES_PER_DAY, 60)
    second = wall_ms % MS_PER_MINUTE // 1000
    return f"{hour:02}:{minute:02}:{second:02}"
