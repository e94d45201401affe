"""The result of a claim that another dispatch already holds."""

import msgspec


class ClaimHeld(msgspec.Struct, frozen=True, tag="claim-held"):
    """Another dispatch claimed the request first.

    `recorded` tells whether its outcome is known; `status` and `body` are that
    outcome. Without a record the outcome is unknown to the caller.
    """

    request_id: str
    instance: str
    recorded: bool
    status: int = 0
    body: bytes = b""
