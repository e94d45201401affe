"""The records of all applied notes, in the order of their numbers."""

from spindle_decisions.state.note_record import NoteRecord
from spindle_decisions.state.note_row import decode_note_row, encode_note_row, note_id_bytes


class NoteHistory:
    """The records of all applied notes; row `n` is that of note number `n`.

    Rows stay encoded and are not indexed by id: a resent note is found by its number,
    and the rows are searched for an id only if the note is not a resend.
    """

    def __init__(self, rows: list[bytes]) -> None:
        self.rows = rows

    @property
    def last_number(self) -> int:
        """Return the number of the newest note, or 0 if there is none."""
        return len(self.rows)

    def get(self, number: int) -> NoteRecord | None:
        """Return the record of the note with this number, or `None`."""
        if not 1 <= number <= len(self.rows):
            return None
        return decode_note_row(self.rows[number - 1])

    def find_id(self, note_id: str) -> NoteRecord | None:
        """Return the record of the note with this id, or `None`."""
        id_bytes = note_id_bytes(note_id)
        for row in reversed(self.rows):
            if id_bytes in row:
                record = decode_note_row(row)
                if record.note_id == note_id:
                    return record
        return None

    def append(self, record: NoteRecord) -> None:
        """Append the record of the note that follows the newest one."""
        self.rows.append(encode_note_row(record))
