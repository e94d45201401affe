"""Requests that one upstream answers: what may go out again."""

import unittest

from nose2.tools import params

from spindle_decisions.routing.single_execution import SingleExecution
from tests.decisions.routing.common import book, listed, single_route

NOW = 100.0
LIMIT_S = 1.9


class TestSingle(unittest.TestCase):
    def start(self, idempotent: bool, attempts: int = 2, upstreams: int = 4) -> int:
        names = [f"u{number}" for number in range(upstreams)]
        self.book = book(*(listed(name, "desk") for name in names))
        self.single = SingleExecution(single_route(idempotent, attempts), self.book, NOW, LIMIT_S)
        send = self.single.start(NOW)
        assert send is not None
        return send.attempt_id

    @params(
        ("on_failure", True, True, True),
        ("on_failure", False, False, True),
        ("on_not_run", True, True, False),
        ("on_not_run", False, True, False),
        ("on_not_sent", True, True, False),
        ("on_not_sent", False, True, False),
    )
    def test_what_goes_out_again(
        self, event: str, idempotent: bool, again: bool, ran: bool
    ) -> None:
        token = self.start(idempotent)
        send = getattr(self.single, event)(token, NOW + 0.01)
        self.assertEqual(send is not None, again)
        self.assertEqual(self.single.may_have_run, ran)

    def test_a_request_that_may_have_run_never_goes_out_again(self) -> None:
        token = self.start(idempotent=False)
        second = self.single.on_not_run(token, NOW + 0.01)
        assert second is not None
        self.assertIsNone(self.single.on_failure(second.attempt_id, NOW + 0.02))
        self.assertTrue(self.single.may_have_run)

    @params((True, True), (False, False))
    def test_only_an_idempotent_one_is_hedged(self, idempotent: bool, hedged: bool) -> None:
        self.start(idempotent)
        send = self.single.tick(self.single.next_tick_at())
        self.assertEqual(send is not None, hedged)

    def test_not_more_attempts_than_the_route_allows(self) -> None:
        token = self.start(idempotent=True, attempts=1)
        self.assertIsNone(self.single.on_failure(token, NOW + 0.01))

    def test_a_send_that_never_left_is_no_attempt(self) -> None:
        token = self.start(idempotent=False, attempts=1)
        send = self.single.on_not_sent(token, NOW + 0.01)
        assert send is not None
        self.assertEqual(send.cause, "first")
        self.assertEqual(self.book.retry_budget("desk").retries, 0)

    def test_nothing_goes_out_when_time_is_over(self) -> None:
        token = self.start(idempotent=True)
        self.assertIsNone(self.single.on_failure(token, NOW + LIMIT_S))
