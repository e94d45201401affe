"""The time line of this process."""

from typing import TYPE_CHECKING

from spindle_daemon.components.admin.admin_app import AdminApplication
from spindle_daemon.components.admin.const import PATH_TIMELINE
from spindle_daemon.components.timeline.ring import TimelineRing
from spindle_daemon.core.spindle import Spindle
from spindle_daemon.helpers.json_response import json_ok
from spindle_daemon.helpers.lazy_metrics import register_lazily
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.hybrid_clock import HybridClock

if TYPE_CHECKING:
    from spindle_daemon.components.timeline.collector import TimelineCollector


def setup(spindle: Spindle, clock: HybridClock) -> TimelineRing:
    """Give the process its time line.

    `clock` is the clock of the transport, so that whatever follows a message is
    stamped later than the message.
    """
    ring = TimelineRing(spindle.settings.instance.name, clock)
    spindle.timeline = ring
    register_lazily(lambda: _collector(ring))
    ring.add(EventKind.PROCESS_STARTED, f"incarnation {spindle.incarnation}")
    return ring


def register(spindle: Spindle, app: AdminApplication) -> None:
    """Answer `GET /v1/timeline` on the admin endpoint, once the time line is set up."""
    ring = spindle.timeline
    assert isinstance(ring, TimelineRing)
    app.route("GET", PATH_TIMELINE, lambda request: json_ok(ring.query(request.query)))


def _collector(ring: TimelineRing) -> "TimelineCollector":
    from spindle_daemon.components.timeline.collector import TimelineCollector

    return TimelineCollector(ring.ring)
