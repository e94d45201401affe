"""A whole plan of routes on its way to an instance."""

import msgspec


class PlanPush(msgspec.Struct, frozen=True, tag="plan-push"):
    """The agreed plan of that version, compressed as in the replicated state."""

    version: int
    document: bytes
