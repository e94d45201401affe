"""Commands for tests of the replicated state."""

import uuid

from spindle_decisions.commands.apply_note import ApplyNote
from tests.decisions.claims.common import START_MS
from tests.decisions.notes.common import note_text


def note_id(serial: int) -> str:
    """Return the note id with this serial number."""
    return str(uuid.UUID(int=serial))


def add_data_center(name: str) -> str:
    """Return the body of a note that adds a data centre."""
    return f"[added data-center {name}]\n"


def apply_command(
    number: int, serial: int | None = None, body: str | None = None, at_ms: int = START_MS
) -> ApplyNote:
    """Return the command that applies a note, by default one that adds `dc-NUMBER`."""
    text = note_text(
        body or add_data_center(f"dc-{number}"),
        number,
        note_id(number if serial is None else serial),
    )
    return ApplyNote(text, at_ms)
