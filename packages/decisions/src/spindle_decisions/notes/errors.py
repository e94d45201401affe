"""Creates the errors of release notes with their messages."""

from spindle_decisions.exceptions import NoteError
from spindle_decisions.notes.change import Change
from spindle_decisions.notes.const import MAX_QUOTED_VALUE_CHARS


def create_value_error(
    line: int, section: str, key: str, value: str | None, allowed: str
) -> NoteError:
    """Return the error for one value; a `value` of `None` means that the key is missing.

    Example of a message: `line 9, [added group comptoir] target-ms = 'soon':
    allowed is a whole number from 1 to 600000`.
    """
    actual = "missing" if value is None else f"= {_quote(value)}"
    return NoteError(
        f"line {line}, [{_truncate(section)}] {_truncate(key)} {actual}: allowed is {allowed}"
    )


def create_change_error(change: Change, reason: str) -> NoteError:
    """Return the error for a change that the catalog does not allow."""
    return NoteError(f"line {change.line}, [{change.section}]: {reason}")


def _quote(value: str) -> str:
    return repr(_truncate(value))


def _truncate(value: str) -> str:
    if len(value) <= MAX_QUOTED_VALUE_CHARS:
        return value
    return value[:MAX_QUOTED_VALUE_CHARS] + "..."
