"""The body of a caller's non-idempotent request."""

import msgspec


class RunRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The key, which selects the service that runs the request, and any JSON value as body."""

    key: str
    body: msgspec.Raw
