"""The command that applies a release note."""

import msgspec


class ApplyNote(msgspec.Struct, frozen=True, tag="apply-note"):
    """Apply a release note given as INI text.

    The text travels whole, so every replica checks and applies the same bytes.
    `proposed_at_ms` is the leader's wall clock in Unix milliseconds.
    """

    text: str
    proposed_at_ms: int
