"""The command that replaces the routing plan."""

import msgspec


class ReplacePlan(msgspec.Struct, frozen=True, tag="replace-plan"):
    """Replace the whole plan if the new version is higher than the current one.

    `document` is the plan as its author sent it, compressed; it was validated before
    the command was proposed.
    """

    version: int
    document: bytes
    proposed_at_ms: int = 0
