"""The command that reads the version of the newest plan."""

import msgspec


class ReadPlan(msgspec.Struct, frozen=True, tag="read-plan"):
    """Return the version of the plan at this position in the log, without changing it."""

    proposed_at_ms: int = 0
