"""Frames records in files: magic bytes, length, two checksums and body.

The first checksum covers the length. It distinguishes a header from other bytes that
happen to equal the magic bytes without a read of the body, so that the search for
records after a damaged one takes linear time. The second covers length and body.
"""

import msgspec
import xxhash

from spindle_daemon.storage.const import MAX_RECORD_BYTES
from spindle_decisions.exceptions import StorageError

MAGIC = b"SPR1"
_LENGTH_BYTES = 4
_LENGTH_CHECKSUM_BYTES = 4
_CHECKSUM_BYTES = 8
_LENGTH_START = len(MAGIC)
_LENGTH_CHECKSUM_START = _LENGTH_START + _LENGTH_BYTES
_CHECKSUM_START = _LENGTH_CHECKSUM_START + _LENGTH_CHECKSUM_BYTES
HEADER_BYTES = _CHECKSUM_START + _CHECKSUM_BYTES
_OFFSET_BITS = 32
_SEED_BITS = 64


class RecordScan(msgspec.Struct, frozen=True):
    """The records of a file up to the first byte that is not part of a valid one.

    `end` is the offset of that byte. `valid_after_damage` is the offset of a valid
    record after it, or `None`. If there is one, the file is damaged in the middle;
    otherwise the bytes after `end`, if any, are a torn tail.
    """

    bodies: tuple[bytes, ...]
    offsets: tuple[int, ...]
    end: int
    valid_after_damage: int | None = msgspec.field(name="sound_after")


class RecoveredRecords(msgspec.Struct, frozen=True):
    """All valid records of a file, and the number of bytes outside of them."""

    bodies: tuple[bytes, ...]
    skipped_bytes: int


def encode_record(body: bytes, file_number: int, offset: int) -> bytes:
    """Frame a record for one offset in one file.

    The checksums are seeded with file number and offset, so a copy of a record at
    another position is never valid. Raises `StorageError` if the body is too large.
    """
    if len(body) > MAX_RECORD_BYTES:
        raise StorageError(
            f"record of {len(body)} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes"
        )
    length = len(body).to_bytes(_LENGTH_BYTES, "little")
    seed = _seed(file_number, offset)
    return MAGIC + length + _length_checksum(length, seed) + _checksum(length, body, seed) + body


def scan_records(data: bytes, file_number: int) -> RecordScan:
    """Read the records of a file from its start to the first invalid one."""
    bodies: list[bytes] = []
    offsets: list[int] = []
    offset = 0
    while (body := _read_record(data, file_number, offset)) is not None:
        bodies.append(body)
        offsets.append(offset)
        offset += HEADER_BYTES + len(body)
    return RecordScan(
        tuple(bodies), tuple(offsets), offset, _find_record(data, file_number, offset + 1)
    )


def recover_records(data: bytes, file_number: int) -> RecoveredRecords:
    """Read all valid records of a file, including those after damage."""
    bodies: list[bytes] = []
    valid_bytes = 0
    offset = data.find(MAGIC)
    while offset >= 0:
        body = _read_record(data, file_number, offset)
        if body is None:
            offset = data.find(MAGIC, offset + 1)
            continue
        bodies.append(body)
        size_bytes = HEADER_BYTES + len(body)
        valid_bytes += size_bytes
        offset = data.find(MAGIC, offset + size_bytes)
    return RecoveredRecords(tuple(bodies), len(data) - valid_bytes)


def _find_record(data: bytes, file_number: int, start: int) -> int | None:
    offset = data.find(MAGIC, start)
    while offset >= 0:
        if _read_record(data, file_number, offset) is not None:
            return offset
        offset = data.find(MAGIC, offset + 1)
    return None


def _read_record(data: bytes, file_number: int, offset: int) -> bytes | None:
    body_start = offset + HEADER_BYTES
    if body_start > len(data) or not data.startswith(MAGIC, offset):
        return None
    seed = _seed(file_number, offset)
    length = data[offset + _LENGTH_START : offset + _LENGTH_CHECKSUM_START]
    length_checksum = data[offset + _LENGTH_CHECKSUM_START : offset + _CHECKSUM_START]
    if _length_checksum(length, seed) != length_checksum:
        return None
    body_end = body_start + int.from_bytes(length, "little")
    if body_end > len(data):
        return None
    body = data[body_start:body_end]
    expected = data[offset + _CHECKSUM_START : body_start]
    if _checksum(length, body, seed) != expected:
        return None
    return body


def _seed(file_number: int, offset: int) -> int:
    return ((file_number << _OFFSET_BITS) + offset) % (1 << _SEED_BITS)


def _length_checksum(length: bytes, seed: int) -> bytes:
    digest = xxhash.xxh3_64_digest(length, seed=seed)
    return digest[:_LENGTH_CHECKSUM_BYTES]


def _checksum(length: bytes, body: bytes, seed: int) -> bytes:
    return xxhash.xxh3_64_digest(length + body, seed=seed)
