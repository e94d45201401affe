"""Timeline events of one finished request."""

from collections.abc import Mapping

from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_decisions.routing.attempt_cause import HEDGE
from spindle_decisions.timeline.event_kind import EventKind


def record_request_events(
    timeline: TimelineSink, request_id: str, trace: RequestTrace, outcome: str, took_ms: float
) -> None:
    """Add the events of one finished request to the timeline.

    All are added when the request has ended. Their reasons contain the inputs of its
    decisions and how long it took.
    """
    route = f"route {trace.route}" if trace.route else "no route"
    arrived = f"{route}, {took_ms:.0f} ms before its end{_format_inputs(trace.decision_inputs)}"
    timeline.add(EventKind.REQUEST_ARRIVED, arrived, request_id=request_id)
    for failure in trace.failures:
        timeline.add(EventKind.ATTEMPT_FAILED, failure, request_id=request_id)
    for cause, count in trace.extra_attempts.items():
        kind = EventKind.HEDGE_SENT if cause == HEDGE else EventKind.RETRY_SENT
        timeline.add(kind, f"{count} of {trace.attempt_count} sends", request_id=request_id)
    timeline.add(EventKind.REQUEST_FINISHED, outcome + _format_parts(trace), request_id=request_id)


def _format_inputs(inputs: Mapping[str, object]) -> str:
    return "".join(f", {name.replace('_', ' ')} {value}" for name, value in inputs.items())


def _format_parts(trace: RequestTrace) -> str:
    if not trace.shard_count:
        return f" (upstream {trace.upstream})" if trace.upstream else ""
    return f" ({trace.part_count} of {trace.shard_count} parts, ended by: {trace.end_reason})"
