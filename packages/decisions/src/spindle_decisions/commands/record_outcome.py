"""The command that records the outcome of a claimed request."""

import msgspec


class RecordOutcome(msgspec.Struct, frozen=True, tag="record-outcome"):
    """Record the outcome of a claimed run; only the first record has an effect.

    `ran` is false if the upstream answered that nothing ran; the claim is then
    released and a resent request may be claimed again.
    """

    request_id: str
    attempt: str
    ran: bool
    status: int
    body: bytes
    proposed_at_ms: int
