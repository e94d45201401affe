"""Request ids: UUIDs of version 7, which contain their time of creation."""

import uuid

import msgspec

from spindle_decisions.exceptions import BadRequestError

UUID_TEXT_LENGTH = 36
UUID_VERSION = 7
_TIME_SHIFT_BITS = 80


class RequestId(msgspec.Struct, frozen=True):
    """A request id as 16 bytes, and its time of creation in Unix milliseconds."""

    key: bytes
    created_at_ms: int


def parse_request_id(text: str) -> RequestId:
    """Parse a request id; raise `BadRequestError` unless it is a UUID of version 7.

    Upper and lower case give the same id.
    """
    try:
        parsed = uuid.UUID(text) if len(text) == UUID_TEXT_LENGTH else None
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != UUID_VERSION:
        raise BadRequestError(f"request id is {text[:64]!r}, expected a UUID of version 7")
    return RequestId(parsed.bytes, parsed.int >> _TIME_SHIFT_BITS)
