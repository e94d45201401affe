"""The command that records the outcome of a claimed request."""

import msgspec


class RecordOutcome(msgspec.Struct, frozen=True, tag="record-outcome"):
    """Record what a claimed run answered; the first record decides.

    `ran` is false when the upstream said that nothing ran; the claim is then
    released and a resend may claim again.
    """

    request_id: str
    attempt: str
    ran: bool
    status: int
    body: bytes
    proposed_at_ms: int
