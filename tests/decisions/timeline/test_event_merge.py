"""Tests of the merged timeline, its ring buffers, stamps and explanations."""

import unittest

from nose2.tools import params

from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_descriptions import EVENT_DESCRIPTIONS
from spindle_decisions.timeline.event_filter import EventFilter
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.timeline.event_merge import merge_events
from spindle_decisions.timeline.event_ring_buffer import EventRingBuffer
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.timeline.request_explanation import explain_request
from spindle_decisions.timeline.stamp_text import format_stamp, parse_stamp


class Process:
    """A process with its own wall clock that records events and sends messages."""

    def __init__(self, name: str, skew_ms: int) -> None:
        self.now_ms = 1_000_000 + skew_ms
        self.clock = HybridClock(lambda: self.now_ms)
        self.ring = EventRingBuffer(name)

    def record(self, text: str) -> None:
        event = Event(self.clock.tick(), self.ring.instance, EventKind.RETRY_SENT, text)
        self.ring.append(event)

    def send_message(self, other: "Process") -> None:
        other.clock.observe(self.clock.tick())


class TestEventMerge(unittest.TestCase):
    @params((0, 0), (600_000, 0), (0, 600_000), (-300_000, 300_000))
    def test_cause_precedes_effect_despite_clock_skew(
        self, first_skew: int, second_skew: int
    ) -> None:
        first, second = Process("a", first_skew), Process("b", second_skew)
        expected = []
        for index in range(6):
            sender, receiver = (first, second) if index % 2 == 0 else (second, first)
            sender.record(str(index))
            expected.append(str(index))
            sender.send_message(receiver)
        first.now_ms += 5
        merged = merge_events([second.ring.select(EventFilter()), first.ring.select(EventFilter())])
        self.assertEqual([event.reason for event in merged], expected)

    def test_duplicate_replies_are_merged_once(self) -> None:
        process = Process("a", 0)
        process.record("once")
        reply = process.ring.select(EventFilter())
        self.assertEqual(len(merge_events([reply, reply])), 1)


class TestEventRingBuffer(unittest.TestCase):
    def setUp(self) -> None:
        self.ring = EventRingBuffer("a", request_events=2, other_events=3)

    def fill(self, *events: Event) -> None:
        for event in events:
            self.ring.append(event)

    def event(self, wall_ms: int, **fields: object) -> Event:
        return Event(HlcStamp(wall_ms, 0), "a", EventKind.HEDGE_SENT, **fields)  # type: ignore[arg-type]

    def test_full_buffer_drops_and_counts_oldest_event(self) -> None:
        self.fill(*(self.event(wall_ms) for wall_ms in range(1, 6)))
        reply = self.ring.select(EventFilter())
        self.assertEqual([event.stamp.wall_ms for event in reply.events], [3, 4, 5])
        self.assertEqual((reply.dropped, reply.complete_from_ms), (2, 3))

    def test_request_events_do_not_evict_other_events(self) -> None:
        self.fill(self.event(1, note=1))
        self.fill(*(self.event(wall_ms, request_id="r") for wall_ms in range(2, 50)))
        reply = self.ring.select(EventFilter())
        self.assertEqual([event.stamp.wall_ms for event in reply.events], [1, 48, 49])
        self.assertEqual(reply.complete_from_ms, 48)

    @params(
        (EventFilter(after=HlcStamp(1, 0)), [2, 3]),
        (EventFilter(request_id="r"), [2]),
        (EventFilter(note=7), [3]),
        (EventFilter(upstream="u"), [1]),
        (EventFilter(upstream="u", request_id="r"), []),
    )
    def test_filters(self, event_filter: EventFilter, expected: list[int]) -> None:
        self.fill(self.event(1, upstream="u"), self.event(2, request_id="r"), self.event(3, note=7))
        found = [event.stamp.wall_ms for event in self.ring.select(event_filter).events]
        self.assertEqual(found, expected)

    def test_limited_reply_can_be_continued_after_its_last_stamp(self) -> None:
        self.fill(*(self.event(wall_ms) for wall_ms in (1, 2, 3)))
        seen: list[int] = []
        after = HlcStamp(0, 0)
        while events := self.ring.select(EventFilter(after=after), limit=2).events:
            seen.extend(event.stamp.wall_ms for event in events)
            after = events[-1].stamp
        self.assertEqual(seen, [1, 2, 3])


class TestStampText(unittest.TestCase):
    def test_stamp_text_round_trip(self) -> None:
        stamp = HlcStamp(1_764_856_800_000, 3)
        self.assertEqual(parse_stamp(format_stamp(stamp)), stamp)

    def test_milliseconds_without_counter_include_that_millisecond(self) -> None:
        self.assertLess(parse_stamp("5"), HlcStamp(5, 0))

    @params("", "x", "5.", ".5", "5.x", "²", "9" * 30)
    def test_malformed_stamp_is_rejected(self, text: str) -> None:
        with self.assertRaises(BadRequestError):
            parse_stamp(text)


class TestRequestExplanation(unittest.TestCase):
    def test_only_events_of_the_request_and_missing_end_are_explained(self) -> None:
        events = (
            Event(HlcStamp(10, 0), "a", EventKind.REQUEST_ARRIVED, request_id="r"),
            Event(HlcStamp(11, 0), "a", EventKind.HEDGE_SENT, request_id="other"),
            Event(HlcStamp(15, 0), "a", EventKind.HEDGE_SENT, "slow", "r", 0, "u-1", "s-1"),
        )
        sentences = explain_request("r", events)
        self.assertEqual(len(sentences), 3)
        self.assertIn("+5 ms  a sent a hedge at upstream u-1 for service s-1: slow.", sentences[1])
        self.assertIn("end is not recorded", sentences[2])

    def test_every_event_kind_has_a_description(self) -> None:
        self.assertEqual(set(EVENT_DESCRIPTIONS), set(EventKind))
