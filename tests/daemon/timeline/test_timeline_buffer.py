"""Tests of the timeline buffer."""

import unittest

from nose2.tools import params

from spindle_daemon.components.timeline.timeline_buffer import TimelineBuffer
from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.timeline.hybrid_clock import HybridClock


class TestTimelineBuffer(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = HybridClock(lambda: 1000)
        self.buffer = TimelineBuffer("entry-a", self.clock)

    def test_an_event_after_a_message_is_stamped_after_it(self) -> None:
        self.clock.observe(HlcStamp(600_000, 4))
        self.buffer.add(EventKind.CONFIG_TAKEN, "x" * 1000, note=3)
        (event,) = self.buffer.query({"note": "3"}).events
        self.assertGreater(event.stamp, HlcStamp(600_000, 4))
        self.assertLess(len(event.reason), 1000)

    @params({"since": "x"}, {"note": "x"}, {"note": "-1"})
    def test_arguments_that_cannot_be_read(self, arguments: dict[str, str]) -> None:
        with self.assertRaises(BadRequestError):
            self.buffer.query(arguments)
