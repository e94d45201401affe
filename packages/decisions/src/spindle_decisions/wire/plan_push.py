"""A whole routing plan, pushed to an instance."""

import msgspec


class PlanPush(msgspec.Struct, frozen=True, tag="plan-push"):
    """The committed plan of `version`, compressed as in the replicated state."""

    version: int
    document: bytes
