"""The answer to a non-idempotent request as a caller gets it."""

import msgspec


class RunAnswer(msgspec.Struct, frozen=True):
    """The outcome that the upstream gave, and whether it was given before.

    `replayed` tells that the id ran earlier and `outcome` is its record.
    """

    request_id: str
    replayed: bool
    outcome: msgspec.Raw
