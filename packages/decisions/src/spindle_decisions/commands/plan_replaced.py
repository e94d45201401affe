"""The result of a replaced plan, and of a read of its version."""

import msgspec


class PlanReplaced(msgspec.Struct, frozen=True, tag="plan-replaced"):
    """The version in force after the command; `changed` says whether it put it there."""

    version: int
    changed: bool
