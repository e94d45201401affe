"""A non-idempotent request as a caller asks it."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class RunCall:
    """A request to run at most once, at the service that owns `key`.

    `first_sending` is the caller's word that it never sent this id before.
    """

    group: str
    request_id: str
    key: str
    body: msgspec.Raw
    deadline_ms: float | None = None
    first_sending: bool = False
