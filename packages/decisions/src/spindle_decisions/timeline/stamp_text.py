"""Text format of hybrid clock stamps."""

from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.timeline.hlc_stamp import HlcStamp

MAX_STAMP_DIGITS = 18


def format_stamp(stamp: HlcStamp) -> str:
    """Format a stamp as `wall_ms.counter`, for example `1764856800000.3`."""
    return f"{stamp.wall_ms}.{stamp.counter}"


def parse_stamp(text: str) -> HlcStamp:
    """Parse `wall_ms` or `wall_ms.counter`; raise `BadRequestError` for anything else.

    Without a counter, the result is before all events of that millisecond.
    """
    wall_ms, separator, counter = text.partition(".")
    if not _is_number(wall_ms) or (separator and not _is_number(counter)):
        raise BadRequestError(f"stamp is {text!r}, expected milliseconds or milliseconds.counter")
    if not separator:
        return HlcStamp(int(wall_ms) - 1, 0)
    return HlcStamp(int(wall_ms), int(counter))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_STAMP_DIGITS
