"""The body of a non-idempotent request to an upstream."""

import msgspec


class RunRequest(msgspec.Struct, frozen=True):
    """A non-idempotent request for one key of the shard; the body is opaque."""

    service: str
    key: str
    body: msgspec.Raw
