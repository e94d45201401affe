"""The wording of errors of release notes."""

from spindle_decisions.exceptions import NoteError
from spindle_decisions.notes.change import Change
from spindle_decisions.notes.const import MAX_SHOWN_VALUE_LENGTH


def create_value_error(
    line: int, section: str, key: str, value: str | None, allowed: str
) -> NoteError:
    """Return the error for one value; `None` stands for a key that is missing.

    The text reads as in `line 9, [added group comptoir] target-ms = 'soon':
    allowed is a whole number from 1 to 600000`.
    """
    shown = "missing" if value is None else f"= {_shorten(value)}"
    return NoteError(f"line {line}, [{_clip(section)}] {_clip(key)} {shown}: allowed is {allowed}")


def create_change_error(change: Change, reason: str) -> NoteError:
    """Return the error for a change that does not fit the catalog."""
    return NoteError(f"line {change.line}, [{change.section}]: {reason}")


def _shorten(value: str) -> str:
    return repr(_clip(value))


def _clip(value: str) -> str:
    if len(value) <= MAX_SHOWN_VALUE_LENGTH:
        return value
    return value[:MAX_SHOWN_VALUE_LENGTH] + "..."
