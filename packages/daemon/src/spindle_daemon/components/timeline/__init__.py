"""The timeline of this process."""

from typing import TYPE_CHECKING

from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.components.admin.const import PATH_TIMELINE
from spindle_daemon.components.timeline.timeline_buffer import TimelineBuffer
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.json_response import json_ok
from spindle_daemon.helpers.lazy_metrics import register_lazily
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.hybrid_clock import HybridClock

if TYPE_CHECKING:
    from spindle_daemon.components.timeline.collector import TimelineCollector


def setup(spindle: Spindle, clock: HybridClock) -> TimelineBuffer:
    """Set up the timeline of the process.

    `clock` is the clock of the transport, so that events after the receipt of a
    message get a later stamp than the message.
    """
    timeline = TimelineBuffer(spindle.settings.instance.name, clock)
    spindle.timeline = timeline
    register_lazily(lambda: _collector(timeline))
    timeline.add(EventKind.PROCESS_STARTED, f"incarnation {spindle.incarnation}")
    return timeline


def register(spindle: Spindle, app: AdminApplication) -> None:
    """Add `GET /v1/timeline` to the admin endpoint; requires `setup`."""
    timeline = spindle.timeline
    assert isinstance(timeline, TimelineBuffer)
    app.route("GET", PATH_TIMELINE, lambda request: json_ok(timeline.query(request.query)))


def _collector(timeline: TimelineBuffer) -> "TimelineCollector":
    from spindle_daemon.components.timeline.collector import TimelineCollector

    return TimelineCollector(timeline.ring)
