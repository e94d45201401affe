"""The result of a claim that may be dispatched."""

import msgspec


class ClaimGranted(msgspec.Struct, frozen=True, tag="claim-granted"):
    """The claiming dispatch, and no other, may send the request."""

    request_id: str
    attempt: str
