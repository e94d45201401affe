"""A non-idempotent request as sent by a caller."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class RunCall:
    """A request to run at most once, at the service of `key`.

    `first_sending` means that the caller states it never sent this id before.
    """

    group: str
    request_id: str
    key: str
    body: msgspec.Raw
    deadline_ms: float | None = None
    first_sending: bool = False
