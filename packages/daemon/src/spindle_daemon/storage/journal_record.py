"""The records of the log files."""

import msgspec

from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry


class SegmentHeader(msgspec.Struct, frozen=True, tag="segment"):
    """The first record of a log file.

    It repeats the hard state, so that older files can be removed. It also contains
    the size of the previous file, so that a truncation of that file is detected.
    """

    sequence: int
    previous_size_bytes: int
    hard_state: HardState


class JournalBatch(msgspec.Struct, frozen=True, tag="batch"):
    """One group commit in a single record, so that it is stored atomically."""

    truncate_from: int
    entries: tuple[LogEntry, ...]
    hard_state: HardState | None


JournalRecord = SegmentHeader | JournalBatch

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[JournalRecord] = msgspec.msgpack.Decoder(JournalRecord)


def encode_journal_record(record: JournalRecord) -> bytes:
    """Encode the body of a record."""
    return _ENCODER.encode(record)


def decode_journal_record(data: bytes) -> JournalRecord:
    """Decode the body of a record; raise `msgspec.DecodeError` if malformed."""
    return _DECODER.decode(data)
