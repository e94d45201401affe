"""Puts what a log line says of a request on the time line."""

from collections.abc import Mapping

from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_decisions.routing.attempt_cause import HEDGE
from spindle_decisions.timeline.event_kind import EventKind


def record_request_events(
    timeline: TimelineSink, request_id: str, record: RequestTrace, ended: str, took_ms: float
) -> None:
    """Add the events of one request that has ended, from its arrival on.

    They are added together at its end; the reasons say what was known and how long
    it took.
    """
    route = f"route {record.route}" if record.route else "no route"
    arrived = f"{route}, {took_ms:.0f} ms before its end{_beliefs(record.beliefs)}"
    timeline.add(EventKind.REQUEST_ARRIVED, arrived, request_id=request_id)
    for note in record.notes:
        timeline.add(EventKind.ATTEMPT_FAILED, note, request_id=request_id)
    for cause, count in record.repeats.items():
        kind = EventKind.HEDGE_SENT if cause == HEDGE else EventKind.RETRY_SENT
        timeline.add(kind, f"{count} of {record.sends} sends", request_id=request_id)
    timeline.add(EventKind.REQUEST_FINISHED, ended + _parts(record), request_id=request_id)


def _beliefs(beliefs: Mapping[str, object]) -> str:
    return "".join(f", {name.replace('_', ' ')} {value}" for name, value in beliefs.items())


def _parts(record: RequestTrace) -> str:
    if not record.shards:
        return f" (upstream {record.upstream})" if record.upstream else ""
    return f" ({record.parts} of {record.shards} parts, ended by: {record.end})"
