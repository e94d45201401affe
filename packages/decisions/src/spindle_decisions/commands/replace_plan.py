"""The command that replaces the plan of routes."""

import msgspec


class ReplacePlan(msgspec.Struct, frozen=True, tag="replace-plan"):
    """Put a whole plan in force if its version is higher than the one held.

    `document` is the plan as its author sent it, compressed; it was checked before.
    """

    version: int
    document: bytes
    proposed_at_ms: int = 0
