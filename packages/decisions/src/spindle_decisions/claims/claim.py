"""One row of the claim table."""

import msgspec

from spindle_decisions.claims.claim_state import ClaimState


class Claim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The claim of one request id.

    `request_id` is the id in its 16 bytes, which sort by the time in the id.
    `released` lists attempts that ended without a run; they are never granted
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
