"""The result of a claim that another dispatch already holds."""

import msgspec


class ClaimHeld(msgspec.Struct, frozen=True, tag="claim-held"):
    """Another dispatch claimed the request first.

    `recorded` is true if the outcome of that dispatch is known; `status` and `body`
    are then the outcome. Otherwise the outcome is not known.
    """

    request_id: str
    instance: str
    recorded: bool
    status: int = 0
    body: bytes = b""
