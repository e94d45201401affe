"""The answer to a non-idempotent request, as sent to the caller."""

import msgspec


class RunAnswer(msgspec.Struct, frozen=True):
    """The outcome that the upstream returned.

    `replayed` means that the id ran earlier and `outcome` is its recorded outcome.
    """

    request_id: str
    replayed: bool
    outcome: msgspec.Raw
