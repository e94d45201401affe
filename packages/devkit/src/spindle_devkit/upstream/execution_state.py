"""The states of one execution."""

import enum


class ExecutionState(enum.StrEnum):
    """Where an arrived request stands at a stand-in upstream.

    Only `RUNNING`, `FINISHED` and `CANCELLED_RUNNING` mean that it held a slot.
    """

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED_QUEUED = "cancelled-queued"
    CANCELLED_RUNNING = "cancelled-running"
    REFUSED = "refused"
