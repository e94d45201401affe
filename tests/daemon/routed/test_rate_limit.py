"""Upstreams that name a rate limit for all instances together."""

import logging
import unittest

from nose2.tools import params

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import (
    Request,
    ScriptedUpstream,
    UpstreamScript,
    routed_harness,
)

LOGGER = "spindle_daemon.components.routed.rate_limit_log"


class TestRateLimitLog(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = ""

    def script(self, request: Request) -> bytes:
        headers = {HEADERS.rate_limit: self.limit} if self.limit else {}
        return request.answer(b"x", **headers)

    def test_begin_and_end_of_a_limit_have_lines(self) -> None:
        """Without them nobody could see that an upstream gets more than it takes."""
        upstream = ScriptedUpstream("u1", "desk", self.script)
        with routed_harness(upstream) as entry, self.assertLogs(LOGGER, logging.INFO) as caught:
            entry.ask("/lookup/1")
            self.limit = "250.5"
            entry.ask("/lookup/1")
            entry.ask("/lookup/1")
            self.limit = ""
            entry.ask("/lookup/1")
        lines = [vars(record) for record in caught.records]
        self.assertEqual(
            [(line["event"], line["upstream"], line["limit"], line["sent"]) for line in lines],
            [("upstream-limited", "u1", 250.5, 0), ("upstream-unlimited", "u1", 250.5, 2)],
        )

    @params("none", "nan", "inf", "-1", "1e999", "12,5")
    def test_a_value_that_is_no_limit_changes_nothing(self, value: str) -> None:
        with routed_harness(ScriptedUpstream("u1", "desk", self.script)) as entry:
            replica = entry.coordinator.routing_state.replicas.replicas["u1"]
            limits = []
            for self.limit in (value, "80", value):
                self.assertEqual(entry.ask("/lookup/1").status, 200)
                limits.append(replica.rate_limit and replica.rate_limit.per_s)
        self.assertEqual(limits, [None, 80.0, 80.0])

    def test_upstream_that_is_gone_is_forgotten(self) -> None:
        self.limit = "50"
        upstream = ScriptedUpstream("u1", "desk", self.script)
        other = ScriptedUpstream("u2", "desk", self.script)
        with routed_harness(upstream, other) as entry:
            for _ in range(4):
                entry.ask("/lookup/1")
            entry.list_upstreams(other.listed())
            logged = entry.coordinator.upstream_client.rate_limit_log.logged
        self.assertNotIn("u1", logged)

    def test_the_answer_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        with routed_harness(ScriptedUpstream("u1", "desk", self.script)) as entry:
            replica = entry.coordinator.routing_state.replicas.replicas["u1"]
            replica.record_rate_limit(10.0, 9.0, 5.0)
            replica.record_rate_limit(10.1, 9.5, None)
            self.assertIsNotNone(replica.rate_limit)
            replica.record_rate_limit(10.3, 10.2, None)
            self.assertIsNone(replica.rate_limit)


class TestRefusedByRateLimit(unittest.TestCase):
    def test_other_upstream_serves_what_a_limited_one_does_not_take(self) -> None:
        limited = ScriptedUpstream("u1", "desk", _limited_script("0.5"))
        other = ScriptedUpstream("u2", "desk", lambda request: request.answer(b"x"))
        with routed_harness(limited, other) as entry:
            statuses = [entry.ask("/lookup/1").status for _ in range(30)]
        self.assertEqual(statuses, [200] * 30)
        self.assertLessEqual(len(limited.requests), 2)

    def test_request_above_all_limits_is_refused_at_once_as_not_run(self) -> None:
        upstream = ScriptedUpstream("u1", "desk", _limited_script("0.5"))
        with routed_harness(upstream) as entry:
            first, second = entry.ask("/lookup/1"), entry.ask("/lookup/1")
        self.assertEqual((first.status, second.status), (200, 503))
        self.assertIn(b"overloaded", second.body)
        self.assertIn("retry-after", second.headers)
        self.assertEqual(len(upstream.requests), 1)


def _limited_script(per_s: str) -> UpstreamScript:
    return lambda request: request.answer(b"x", **{HEADERS.rate_limit: per_s})
