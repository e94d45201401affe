"""The body of a caller's non-idempotent request."""

import msgspec


class RunRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The key decides which service runs it; the body is any JSON value."""

    key: str
    body: msgspec.Raw
