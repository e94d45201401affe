"""The limits of the claim table."""

import msgspec

from spindle_decisions.claims.const import MAX_BODIES_BYTES, MAX_BODY_BYTES, MAX_CLAIMS


class ClaimLimits(msgspec.Struct, frozen=True):
    """How much the table holds; the same on every replica of the state.

    An outcome whose body is larger than `max_body_bytes` is not kept, and a resend
    of its request is answered with "outcome unknown". Each open claim reserves
    `max_body_bytes`, so that all bodies together never exceed `max_bodies_bytes`.
    """

    max_claims: int = MAX_CLAIMS
    max_body_bytes: int = MAX_BODY_BYTES
    max_bodies_bytes: int = MAX_BODIES_BYTES
