"""One row of the claim table."""

import msgspec

from spindle_decisions.claims.claim_state import ClaimState


class Claim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The claim to one request id, and the outcome of the request.

    `request_id` is the id as 16 bytes, which sort by the time in the id.
    `attempt` and `instance` identify the dispatch that holds the claim. `released`
    lists attempts that ended without running the request; they are never granted
    again.
    """

    request_id: bytes
    request_digest: str
    attempt: str
    instance: str
    state: ClaimState = ClaimState.OPEN
    status: int = 0
    body: bytes = b""
    released: tuple[str, ...] = ()
