"""The routing plan as stored in the replicated state."""

import msgspec


class PlanDocument(msgspec.Struct, frozen=True):
    """The version of a plan and its compressed document as the author sent it.

    The state does not parse the document, so that reading it returns exactly what
    was sent.
    """

    version: int
    document: bytes


EMPTY_PLAN_DOCUMENT = PlanDocument(0, b"")
