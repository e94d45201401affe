"""The result of a claim whose request may be dispatched."""

import msgspec


class ClaimGranted(msgspec.Struct, frozen=True, tag="claim-granted"):
    """Only the dispatch that made the claim may send the request."""

    request_id: str
    attempt: str
