"""Tests of requests that one upstream answers: hedges, retries and their limits."""

import unittest

from nose2.tools import params

from spindle_decisions.routing.single_execution import SingleExecution
from tests.decisions.routing.common import listed, routing_state, single_route

NOW = 100.0
LIMIT_S = 1.9


class TestSingleExecution(unittest.TestCase):
    def start(self, idempotent: bool, max_attempts: int = 2, upstreams: int = 4) -> int:
        names = [f"u{number}" for number in range(upstreams)]
        self.state = routing_state(*(listed(name, "desk") for name in names))
        self.single = SingleExecution(
            single_route(idempotent, max_attempts), self.state, NOW, LIMIT_S
        )
        attempt = self.single.start(NOW)
        assert attempt is not None
        return attempt.attempt_id

    @params(
        ("on_failure", True, True, True),
        ("on_failure", False, False, True),
        ("on_not_run", True, True, False),
        ("on_not_run", False, True, False),
        ("on_not_sent", True, True, False),
        ("on_not_sent", False, True, False),
    )
    def test_sent_again_only_if_allowed(
        self, event: str, idempotent: bool, is_sent_again: bool, may_have_run: bool
    ) -> None:
        attempt_id = self.start(idempotent)
        attempt = getattr(self.single, event)(attempt_id, NOW + 0.01)
        self.assertEqual(attempt is not None, is_sent_again)
        self.assertEqual(self.single.may_have_run, may_have_run)

    def test_request_that_may_have_run_is_not_sent_again(self) -> None:
        attempt_id = self.start(idempotent=False)
        second = self.single.on_not_run(attempt_id, NOW + 0.01)
        assert second is not None
        self.assertIsNone(self.single.on_failure(second.attempt_id, NOW + 0.02))
        self.assertTrue(self.single.may_have_run)

    @params((True, True), (False, False))
    def test_only_idempotent_requests_are_hedged(self, idempotent: bool, hedged: bool) -> None:
        self.start(idempotent)
        attempt = self.single.tick(self.single.next_tick_at())
        self.assertEqual(attempt is not None, hedged)

    def test_max_attempts_bounds_retries(self) -> None:
        attempt_id = self.start(idempotent=True, max_attempts=1)
        self.assertIsNone(self.single.on_failure(attempt_id, NOW + 0.01))

    def test_attempt_not_sent_uses_neither_attempts_nor_budget(self) -> None:
        attempt_id = self.start(idempotent=False, max_attempts=1)
        attempt = self.single.on_not_sent(attempt_id, NOW + 0.01)
        assert attempt is not None
        self.assertEqual(attempt.cause, "first")
        self.assertEqual(self.state.retry_budget("desk").retries, 0)

    def test_no_attempt_after_the_time_limit(self) -> None:
        attempt_id = self.start(idempotent=True)
        self.assertIsNone(self.single.on_failure(attempt_id, NOW + LIMIT_S))
