"""The states of an execution."""

import enum


class ExecutionState(enum.StrEnum):
    """The state of a request at a stand-in upstream.

    A request in the state `RUNNING`, `FINISHED` or `CANCELLED_RUNNING` holds or
    held a slot; in all other states it never did.
    """

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED_QUEUED = "cancelled-queued"
    CANCELLED_RUNNING = "cancelled-running"
    REFUSED = "refused"
