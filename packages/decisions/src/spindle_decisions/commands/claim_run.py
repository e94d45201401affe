"""The command that claims the right to run a non-idempotent request."""

import msgspec


class ClaimRun(msgspec.Struct, frozen=True, tag="claim-run"):
    """Claim the only run of a request for one dispatch by one entry instance.

    `attempt` is unique per dispatch, so that a claim that one dispatch proposes
    twice is recognised and has the same result. `request_digest` covers group, key
    and body: the same id with another body is refused. `proposed_at_ms` is the
    leader's wall clock in Unix milliseconds.
    """

    request_id: str
    request_digest: str
    attempt: str
    instance: str
    proposed_at_ms: int
