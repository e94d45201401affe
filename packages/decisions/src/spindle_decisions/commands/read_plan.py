"""The command that confirms which plan is the newest."""

import msgspec


class ReadPlan(msgspec.Struct, frozen=True, tag="read-plan"):
    """Changes nothing; its result names the newest version at its place in the log."""

    proposed_at_ms: int = 0
