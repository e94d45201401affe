"""Parsing of the option `--since`."""

import datetime
import re

from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.timeline.stamp_text import parse_stamp
from spindle_decisions.util.units import MS_PER_S

MS_PER_UNIT = {"s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
AGE_PATTERN = re.compile(r"([0-9]{1,9})([smhd])")


def parse_since(text: str, now_ms: int) -> HlcStamp:
    """Parse an age, a time or a stamp; an empty text selects all events.

    An age is a number with the unit s, m, h or d, as in `10m`. A time is in ISO
    8601, as in `2026-12-04T14:00:00+01:00`, and in UTC if it has no offset. A stamp
    has the form `wall_ms.counter`, as in `1764856800000.3`. Raises
    `BadRequestError` for anything else.
    """
    if not text:
        return HlcStamp(0, 0)
    age = AGE_PATTERN.fullmatch(text)
    if age is not None:
        return HlcStamp(max(0, now_ms - int(age[1]) * MS_PER_UNIT[age[2]]), 0)
    if text[0].isdecimal() and "-" not in text:
        return parse_stamp(text)
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise BadRequestError(f"--since is {text!r}, expected an age, a time or a stamp") from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return HlcStamp(int(moment.timestamp() * MS_PER_S), 0)
