"""Gathers that crash each upstream that runs them, and gathers beside such a crash.

Guards against one request that takes all upstreams of all shards: its hedges and retries
carried it to the second upstream of each shard as soon as the first was gone.
"""

import unittest

from nose2.tools import params

from spindle_decisions.routing import const
from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt
from tests.decisions.routing.common import AWAY, gather_route, shard_routing_state

SHARDS = 20
NOW = 100.0
CRASH_S = 0.03
LIMIT_S = 0.5


class TestRequestThatCrashesUpstreams(unittest.TestCase):
    def setUp(self) -> None:
        self.state = shard_routing_state(SHARDS)
        # Plenty of requests, so that the retry budget does not hold anything back.
        for number in range(SHARDS):
            for _ in range(200):
                self.state.retry_budget(f"s{number}").record_request(NOW)
        self.gather = GatherExecution(gather_route(SHARDS, 0.9), self.state, NOW, LIMIT_S)

    @params(0.0, 0.001, 0.004)
    def test_most_shards_keep_their_second_upstream(self, spread_s: float) -> None:
        """Crashes come one after the other, `spread_s` apart; hedges fall due meanwhile."""
        pending = [(NOW + CRASH_S, attempt) for attempt in self.gather.start(NOW)]
        sent = {attempt.replica.upstream_id for _, attempt in pending}
        for number in range(10 * SHARDS):
            if not pending or self.gather.outcome is not None:
                break
            at, attempt = min(pending, key=lambda item: item[0])
            pending.remove((at, attempt))
            now = max(at, NOW + CRASH_S + number * spread_s)
            more = self.gather.tick(now)
            more += self.gather.on_failure(attempt.attempt_id, now)
            sent.update(item.replica.upstream_id for item in more)
            pending += [(now + CRASH_S, item) for item in more]
        self.assertLessEqual(len(sent), SHARDS + const.UNPROVEN_EXTRA_ATTEMPTS)
        assert self.gather.outcome is not None
        self.assertFalse(self.gather.outcome.answered)

    def test_next_tick_lies_ahead_while_hedges_are_held(self) -> None:
        self.gather.start(NOW)
        now = self.gather.next_tick_at()
        while now < NOW + LIMIT_S:
            self.gather.tick(now)
            self.assertGreater(self.gather.next_tick_at(), now)
            now = self.gather.next_tick_at()

    def test_retries_are_sent_once_a_part_has_arrived(self) -> None:
        """A gather in flight at upstreams that another request crashes is answered whole."""
        attempts = self.gather.start(NOW)
        retried: list[UpstreamAttempt] = []
        for attempt in attempts[: SHARDS // 2]:
            retried += self.gather.on_failure(attempt.attempt_id, NOW + 0.005)
        self.assertEqual(len(retried), const.UNPROVEN_EXTRA_ATTEMPTS)
        self.gather.on_response(attempts[-1].attempt_id, "part", NOW + 0.006)
        retried += self.gather.tick(NOW + 0.006)
        self.assertEqual(len(retried), SHARDS // 2)
        for attempt in (*attempts[SHARDS // 2 : -1], *retried):
            self.gather.on_response(attempt.attempt_id, "part", NOW + 0.02)
        assert self.gather.outcome is not None
        self.assertEqual(self.gather.outcome.reason, "whole")

    def test_upstreams_that_refuse_a_request_are_no_reason_to_hold_its_retries(self) -> None:
        """All near upstreams are full: they say that they did not run it."""
        retried = []
        for attempt in self.gather.start(NOW):
            retried += self.gather.on_failure(attempt.attempt_id, NOW + 0.001, not_run=True)
        self.assertEqual(len(retried), SHARDS)

    def test_hedges_find_the_other_data_center_when_all_near_upstreams_are_silent(self) -> None:
        self.gather.start(NOW)
        hedge_at = self.gather.next_tick_at()
        hedges = self.gather.tick(hedge_at)
        self.assertEqual({item.replica.listed.data_center for item in hedges}, {AWAY})
        self.assertEqual(len(hedges), const.UNPROVEN_EXTRA_ATTEMPTS)
        self.gather.on_response(hedges[0].attempt_id, "part", hedge_at + 0.01)
        rest = self.gather.tick(hedge_at + 0.01)
        self.assertEqual(len(hedges) + len(rest), SHARDS)
        for attempt in (*hedges[1:], *rest):
            self.gather.on_response(attempt.attempt_id, "part", hedge_at + 0.02)
        assert self.gather.outcome is not None
        self.assertEqual(self.gather.outcome.reason, "whole")
