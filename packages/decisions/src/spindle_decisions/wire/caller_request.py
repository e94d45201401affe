"""A request as a caller sent it."""

import msgspec


class CallerRequest(msgspec.Struct, frozen=True):
    """Method, raw target and end-to-end headers in order, byte for byte.

    `request_id` is empty if the caller gave none; `has_body` tells an empty body from none.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    has_body: bool
    request_id: str
