"""The time line of this process."""

from spindle_daemon.components.timeline.ring import TimelineRing
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.hybrid_clock import HybridClock


def setup(spindle: Spindle, clock: HybridClock) -> TimelineRing:
    """Give the process its time line.

    `clock` is the clock of the transport, so that whatever follows a message is
    stamped later than the message.
    """
    ring = TimelineRing(spindle.settings.instance.name, clock)
    spindle.timeline = ring
    ring.add(EventKind.PROCESS_STARTED, f"incarnation {spindle.incarnation}")
    return ring
