"""The outcomes of all applied notes, in order of their numbers."""

from spindle_decisions.state.note_record import NoteRecord
from spindle_decisions.state.note_row import decode_note_row, encode_note_row, note_id_bytes


class NoteHistory:
    """All applied notes; the note of number `n` is the `n`-th row.

    Rows are kept encoded and without an index by id: a resend is found by its
    number, and only a note that would be applied is searched for by id.
    """

    def __init__(self, rows: list[bytes]) -> None:
        self.rows = rows

    @property
    def last_number(self) -> int:
        """Return the number of the newest note, 0 for none."""
        return len(self.rows)

    def get(self, number: int) -> NoteRecord | None:
        """Return the note of that number, or `None`."""
        if not 1 <= number <= len(self.rows):
            return None
        return decode_note_row(self.rows[number - 1])

    def find_id(self, note_id: str) -> NoteRecord | None:
        """Return the note of that id, or `None`."""
        wanted = note_id_bytes(note_id)
        for row in reversed(self.rows):
            if wanted in row:
                record = decode_note_row(row)
                if record.note_id == note_id:
                    return record
        return None

    def append(self, record: NoteRecord) -> None:
        """Add the note that follows the newest one."""
        self.rows.append(encode_note_row(record))
