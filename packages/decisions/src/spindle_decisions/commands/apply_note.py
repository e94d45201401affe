"""The command that applies a release note."""

import msgspec


class ApplyNote(msgspec.Struct, frozen=True, tag="apply-note"):
    """Apply a release note given as INI text.

    The command contains the whole text, so that every replica validates and applies
    the same bytes. `proposed_at_ms` is the leader's wall clock in Unix milliseconds.
    """

    text: str
    proposed_at_ms: int
