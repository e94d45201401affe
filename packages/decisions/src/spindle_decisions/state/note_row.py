"""The compact encoding of a note record."""

import uuid

import msgspec

from spindle_decisions.state.note_record import NoteRecord


class _NoteRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A note record with its id and digests in binary."""

    number: int
    note_id: bytes
    author: str
    digest: bytes
    version: int
    catalog_digest: bytes
    applied_at_ms: int
    entry_index: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_NoteRow)


def encode_note_row(record: NoteRecord) -> bytes:
    """Encode a record to about 100 bytes."""
    row = _NoteRow(
        record.number,
        note_id_bytes(record.note_id),
        record.author,
        bytes.fromhex(record.digest),
        record.version,
        bytes.fromhex(record.catalog_digest),
        record.applied_at_ms,
        record.entry_index,
    )
    return _ENCODER.encode(row)


def decode_note_row(data: bytes) -> NoteRecord:
    """Decode a record; raise `msgspec.DecodeError` if malformed."""
    row = _DECODER.decode(data)
    return NoteRecord(
        row.number,
        str(uuid.UUID(bytes=row.note_id)),
        row.author,
        row.digest.hex(),
        row.version,
        row.catalog_digest.hex(),
        row.applied_at_ms,
        row.entry_index,
    )


def note_id_bytes(note_id: str) -> bytes:
    """Return the id of a note as the 16 bytes that an encoded row contains."""
    return uuid.UUID(note_id).bytes
