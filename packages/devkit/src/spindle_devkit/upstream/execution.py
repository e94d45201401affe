"""The record of one request at a stand-in upstream."""

import msgspec

from spindle_devkit.upstream.execution_state import ExecutionState


class Execution(msgspec.Struct):
    """How a stand-in upstream processed one request.

    Times are Unix milliseconds; 0 means that the request did not reach that
    point. `refusal` is the code of a refusal. `remaining_ms` is the remaining
    time from the deadline header; `asked` is the beginning of the query or of
    the body.
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
