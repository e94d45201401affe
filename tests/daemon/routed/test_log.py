"""Each decision about a request has its line and fields, within a rate."""

import logging
import unittest
from typing import Any

from nose2.tools import params

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.line_rate import LineRate
from spindle_daemon.components.routed.request_log import RoutedLog
from spindle_daemon.components.routed.routed_stats import RoutedStats
from spindle_daemon.components.routed.run_record import RunRecord
from spindle_daemon.components.timeline.timeline_buffer import TimelineBuffer
from spindle_decisions.exceptions import OverloadedError
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.timeline.story import tell_story
from tests.daemon.routed.common import Request, ScriptedUpstream, tier

LOGGER = "spindle_daemon.components.routed.request_log"


class FixedClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at

    def wall_ms(self) -> int:
        return 0


def record(**fields: Any) -> RunRecord:
    """Return a record with some fields set."""
    made = RunRecord()
    made.route = "r-1"
    made.sends = 2
    made.beliefs = {"plan": 7, "list_age": 0.4, "quorum_age": 0.2, "instances": 6}
    for name, value in fields.items():
        setattr(made, name, value)
    return made


class TestLines(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FixedClock()
        self.stats = RoutedStats()
        self.ring = TimelineBuffer("front-1", HybridClock(lambda: 0))
        self.log = RoutedLog(self.clock, self.stats, self.ring)

    @params(
        ("late part", {"shards": 20, "parts": 19, "end": "aim"}, {"parts": 19, "shards": 20}),
        ("hedge", {"repeats": {"hedge": 1}}, {"hedge": 1}),
        ("failure on the way", {"notes": ["first s u: reset"]}, {"notes": ["first s u: reset"]}),
        (
            "no upstream to choose",
            {"shards": 3, "parts": 2, "end": "settled", "unsent": ["s1"]},
            {"unsent": [1, "s1"]},
        ),
        ("lookup", {"upstream": "i-1", "repeats": {"retry": 1}}, {"upstream": "i-1", "retry": 1}),
    )
    def test_an_answer_that_was_not_plain(
        self, _name: str, fields: dict[str, Any], expected: dict[str, Any]
    ) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            self.log.answered("id-1", 99.9, record(**fields), 200)
        line = vars(caught.records[0])
        common = {"event": "answered", "id": "id-1", "route": "r-1", "plan": 7, "ms": 100.0}
        for key, value in {**common, **expected}.items():
            self.assertEqual(line[key], value, key)

    def test_a_refusal_says_code_and_reason(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            self.log.refused("id-1", 99.9, record(), OverloadedError("nobody there"))
        line = vars(caught.records[0])
        self.assertEqual((line["event"], line["code"]), ("refused", "overloaded"))
        self.assertEqual(line["reason"], "nobody there")
        self.assertEqual(self.stats.outcomes, {"overloaded": 1})

    @params(
        (
            {"shards": 20, "parts": 19, "end": "aim", "repeats": {"hedge": 1, "retry": 2}},
            [
                "received the request: route r-1, 100 ms before its end, plan 7, list age 0.4,"
                " quorum age 0.2, instances 6.",
                "sent a hedge: 1 of 2 sends.",
                "sent a retry: 2 of 2 sends.",
                "finished the request: answered 200 (19 of 20 parts, ended by: aim).",
            ],
        ),
        (
            {"upstream": "i-1", "notes": ["first desk i-1: reset"], "beliefs": {}},
            [
                "received the request: route r-1, 100 ms before its end.",
                "saw an attempt fail: first desk i-1: reset.",
                "finished the request: answered 200 (upstream i-1).",
            ],
        ),
    )
    def test_the_time_line_tells_the_same(self, fields: dict[str, Any], told: list[str]) -> None:
        self.log.answered("id-1", 99.9, record(**fields), 200)
        events = self.ring.query({"request": "id-1"}).events
        story = tell_story("id-1", tuple(events))
        self.assertEqual([line.partition("front-1 ")[2] for line in story], told)

    def test_the_time_line_tells_of_a_refusal(self) -> None:
        self.log.refused("id-1", 99.9, record(), OverloadedError("nobody there"))
        events = self.ring.query({"request": "id-1"}).events
        self.assertEqual(events[-1].reason, "refused overloaded nobody there")

    def test_plain_answers_are_sampled_and_the_line_says_so(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            for _ in range(2 * const.LOG_SAMPLE):
                self.clock.at += 1.0
                self.log.answered("id-1", self.clock.at, record(), 200)
        self.assertEqual(len(caught.records), 2)
        self.assertEqual(vars(caught.records[0])["one_in"], const.LOG_SAMPLE)
        self.assertEqual(self.stats.outcomes, {"answered": 2 * const.LOG_SAMPLE})

    def test_beyond_the_rate_lines_are_counted(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            for _ in range(1_000):
                self.log.left("id-1", self.clock.at, record())
            self.clock.at += 1.0
            self.log.left("id-1", self.clock.at, record())
        self.assertLessEqual(len(caught.records), const.LOG_LINES_PER_S + 2)
        left_out = [vars(item)["count"] for item in caught.records if item.levelname == "WARNING"]
        self.assertEqual(left_out, [1_000 - int(const.LOG_LINES_PER_S)])

    def test_ids_and_reasons_are_quoted_in_part(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            self.log.refused("x" * 10_000, 99.9, record(), OverloadedError("y" * 10_000))
        line = vars(caught.records[0])
        self.assertEqual((len(line["id"]), len(line["reason"])), (64, 200))


class TestRate(unittest.TestCase):
    @params((10.0, 1.0, 10), (10.0, 0.15, 1), (10.0, 5.0, 10))
    def test_it_refills_with_time(self, per_s: float, waited_s: float, expected: int) -> None:
        rate = LineRate(per_s)
        while rate.allows(100.0):
            pass
        allowed = sum(rate.allows(100.0 + waited_s) for _ in range(100))
        self.assertEqual(allowed, expected)


class TestMetrics(unittest.TestCase):
    def test_they_agree_with_what_callers_saw(self) -> None:
        upstream = ScriptedUpstream("u1", "desk", Request.answer)
        with tier(upstream) as entry:
            for target in ("/lookup/1", "/lookup/2", "/nowhere/"):
                entry.ask(target)
            self.assertEqual(entry.stats.outcomes, {"answered": 2, "unknown-route": 1})
            self.assertEqual(entry.stats.sends, {"first": 2})
