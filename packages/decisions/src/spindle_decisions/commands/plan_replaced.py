"""The result of replacing the plan or reading its version."""

import msgspec


class PlanReplaced(msgspec.Struct, frozen=True, tag="plan-replaced"):
    """The version in force after the command; `changed` is true if the command set it."""

    version: int
    changed: bool
