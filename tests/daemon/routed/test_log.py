"""Tests of the log lines, timeline events and counts of routed requests."""

import logging
import unittest
from typing import Any

from nose2.tools import params

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.request_log import RoutedRequestLog
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_stats import RoutedStats
from spindle_daemon.components.timeline.timeline_buffer import TimelineBuffer
from spindle_daemon.helpers.log_rate_limiter import LogRateLimiter
from spindle_decisions.exceptions import OverloadedError
from spindle_decisions.timeline.hybrid_clock import HybridClock
from spindle_decisions.timeline.request_explanation import explain_request
from tests.daemon.routed.common import Request, ScriptedUpstream, routed_harness

LOGGER = "spindle_daemon.components.routed.request_log"


class FixedClock:
    """Clock whose time is set by a test."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at

    def wall_ms(self) -> int:
        return 0


def create_trace(**fields: Any) -> RequestTrace:
    """Return a trace with some fields set."""
    trace = RequestTrace()
    trace.route = "r-1"
    trace.attempt_count = 2
    trace.decision_inputs = {"plan": 7, "list_age": 0.4, "quorum_age": 0.2, "instances": 6}
    for name, value in fields.items():
        setattr(trace, name, value)
    return trace


class TestRequestLog(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FixedClock()
        self.stats = RoutedStats()
        self.ring = TimelineBuffer("front-1", HybridClock(lambda: 0))
        self.log = RoutedRequestLog(self.clock, self.stats, self.ring)

    @params(
        (
            "late part",
            {"shard_count": 20, "part_count": 19, "end_reason": "aim"},
            {"parts": 19, "shards": 20},
        ),
        ("hedge", {"extra_attempts": {"hedge": 1}}, {"hedge": 1}),
        ("failure on the way", {"failures": ["first s u: reset"]}, {"notes": ["first s u: reset"]}),
        (
            "no upstream to choose",
            {"shard_count": 3, "part_count": 2, "end_reason": "settled", "not_sent_shards": ["s1"]},
            {"unsent": [1, "s1"]},
        ),
        (
            "lookup",
            {"upstream": "i-1", "extra_attempts": {"retry": 1}},
            {"upstream": "i-1", "retry": 1},
        ),
    )
    def test_notable_answer_has_line_with_fields(
        self, _name: str, fields: dict[str, Any], expected: dict[str, Any]
    ) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            self.log.log_answer("id-1", 99.9, create_trace(**fields), 200)
        line = vars(caught.records[0])
        common = {"event": "answered", "id": "id-1", "route": "r-1", "plan": 7, "ms": 100.0}
        for key, value in {**common, **expected}.items():
            self.assertEqual(line[key], value, key)

    def test_refusal_has_code_and_reason(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            self.log.log_refusal("id-1", 99.9, create_trace(), OverloadedError("nobody there"))
        line = vars(caught.records[0])
        self.assertEqual((line["event"], line["code"]), ("refused", "overloaded"))
        self.assertEqual(line["reason"], "nobody there")
        self.assertEqual(self.stats.outcomes, {"overloaded": 1})

    @params(
        (
            {
                "shard_count": 20,
                "part_count": 19,
                "end_reason": "aim",
                "extra_attempts": {"hedge": 1, "retry": 2},
            },
            [
                "received the request: route r-1, 100 ms before its end, plan 7, list age 0.4,"
                " quorum age 0.2, instances 6.",
                "sent a hedge: 1 of 2 sends.",
                "sent a retry: 2 of 2 sends.",
                "finished the request: answered 200 (19 of 20 parts, ended by: aim).",
            ],
        ),
        (
            {"upstream": "i-1", "failures": ["first desk i-1: reset"], "decision_inputs": {}},
            [
                "received the request: route r-1, 100 ms before its end.",
                "saw an attempt fail: first desk i-1: reset.",
                "finished the request: answered 200 (upstream i-1).",
            ],
        ),
    )
    def test_timeline_matches_log(self, fields: dict[str, Any], expected: list[str]) -> None:
        self.log.log_answer("id-1", 99.9, create_trace(**fields), 200)
        events = self.ring.query({"request": "id-1"}).events
        sentences = explain_request("id-1", tuple(events))
        self.assertEqual([line.partition("front-1 ")[2] for line in sentences], expected)

    def test_timeline_has_refusal(self) -> None:
        self.log.log_refusal("id-1", 99.9, create_trace(), OverloadedError("nobody there"))
        events = self.ring.query({"request": "id-1"}).events
        self.assertEqual(events[-1].reason, "refused overloaded nobody there")

    def test_plain_answers_are_sampled(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            for _ in range(2 * const.LOG_SAMPLE_EVERY):
                self.clock.at += 1.0
                self.log.log_answer("id-1", self.clock.at, create_trace(), 200)
        self.assertEqual(len(caught.records), 2)
        self.assertEqual(vars(caught.records[0])["one_in"], const.LOG_SAMPLE_EVERY)
        self.assertEqual(self.stats.outcomes, {"answered": 2 * const.LOG_SAMPLE_EVERY})

    def test_suppressed_lines_are_counted(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            for _ in range(1_000):
                self.log.log_disconnect("id-1", self.clock.at, create_trace())
            self.clock.at += 1.0
            self.log.log_disconnect("id-1", self.clock.at, create_trace())
        self.assertLessEqual(len(caught.records), const.LOG_LINES_PER_S + 2)
        suppressed_counts = [
            vars(item)["count"] for item in caught.records if item.levelname == "WARNING"
        ]
        self.assertEqual(suppressed_counts, [1_000 - int(const.LOG_LINES_PER_S)])

    def test_ids_and_reasons_are_truncated(self) -> None:
        with self.assertLogs(LOGGER, logging.INFO) as caught:
            self.log.log_refusal("x" * 10_000, 99.9, create_trace(), OverloadedError("y" * 10_000))
        line = vars(caught.records[0])
        self.assertEqual((len(line["id"]), len(line["reason"])), (64, 200))


class TestLogRateLimiter(unittest.TestCase):
    @params((10.0, 1.0, 10), (10.0, 0.15, 1), (10.0, 5.0, 10))
    def test_refills_over_time(self, per_s: float, waited_s: float, expected: int) -> None:
        limiter = LogRateLimiter(per_s)
        while limiter.try_acquire(100.0):
            pass
        allowed = sum(limiter.try_acquire(100.0 + waited_s) for _ in range(100))
        self.assertEqual(allowed, expected)


class TestUnknownRoute(unittest.TestCase):
    def test_line_names_host_path_and_plan_version(self) -> None:
        upstream = ScriptedUpstream("u1", "desk", Request.answer)
        with routed_harness(upstream) as entry, self.assertLogs(LOGGER, logging.INFO) as caught:
            entry.ask("/nowhere/" + "x" * 500 + "?secret=1")
        reason = vars(caught.records[-1])["reason"]
        for part in ("'/nowhere/xxx", "'catalogue.example'", "version 1 ", "routes"):
            self.assertIn(part, reason)
        self.assertNotIn("secret", reason)


class TestMetrics(unittest.TestCase):
    def test_counts_match_answers(self) -> None:
        upstream = ScriptedUpstream("u1", "desk", Request.answer)
        with routed_harness(upstream) as entry:
            for target in ("/lookup/1", "/lookup/2", "/nowhere/"):
                entry.ask(target)
            self.assertEqual(entry.stats.outcomes, {"answered": 2, "unknown-route": 1})
            self.assertEqual(entry.stats.attempts, {"first": 2})
