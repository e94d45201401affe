"""The claim table as it is stored in a snapshot."""

import msgspec

from spindle_decisions.claims.claim import Claim


class ClaimSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The log time of the table in Unix milliseconds, and its claims, sorted by id."""

    now_ms: int = 0
    claims: tuple[Claim, ...] = ()
