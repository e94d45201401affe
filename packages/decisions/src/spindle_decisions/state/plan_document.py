"""The plan of routes as the replicated state holds it."""

import msgspec


class PlanDocument(msgspec.Struct, frozen=True):
    """A plan under its version, as its author sent it, compressed.

    The state does not look into the document, so that what is read back is what
    was sent.
    """

    version: int
    document: bytes


EMPTY_PLAN_DOCUMENT = PlanDocument(0, b"")
