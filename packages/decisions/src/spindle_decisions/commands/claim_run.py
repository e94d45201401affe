"""The command that claims the right to run a non-idempotent request."""

import msgspec


class ClaimRun(msgspec.Struct, frozen=True, tag="claim-run"):
    """Claim the one run of a request for one dispatch by one entry instance.

    `attempt` is unique per dispatch, so that a claim proposed twice by the same
    dispatch is granted once and recognised the second time. `request_digest`
    covers group, key and body: the same id with another body is refused.
    """

    request_id: str
    request_digest: str
    attempt: str
    instance: str
    proposed_at_ms: int
