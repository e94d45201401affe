"""The request of a caller, forwarded unchanged."""

import msgspec


class CallerRequest(msgspec.Struct, frozen=True):
    """Method, raw target, end-to-end headers in order, and body, byte for byte.

    `request_id` is empty if the caller gave none; `has_body` distinguishes an empty
    body from no body.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    has_body: bool
    request_id: str
