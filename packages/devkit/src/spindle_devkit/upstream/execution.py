"""The record of one arrived request."""

import msgspec

from spindle_devkit.upstream.execution_state import ExecutionState


class Execution(msgspec.Struct):
    """What a stand-in upstream did with one arrived request.

    Times are wall-clock milliseconds; 0 means that it did not come to that.
    `refusal` is the code of a refusal. `remaining_ms` is the deadline as told
    by the request; `asked` is the beginning of the query or of the body.
    """

    upstream: str
    kind: str
    request_id: str
    snapshot: str
    key: str
    asked: str
    remaining_ms: float | None
    arrived_ms: float
    state: ExecutionState = ExecutionState.QUEUED
    started_ms: float = 0.0
    finished_ms: float = 0.0
    refusal: str = ""
