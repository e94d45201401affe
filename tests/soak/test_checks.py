"""The checks of the soak find what they are for."""

import time
import unittest

import gevent
from nose2.tools import params

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import Answer
from tests.soak import const
from tests.soak.answer_check import ORDER, SEARCH, AnswerCheck
from tests.soak.budget_check import BURST, check_budget
from tests.soak.callers import LOOKUP
from tests.soak.document import DESK, SHARDS
from tests.soak.ledger import Ledger
from tests.soak.outcome import Outcome
from tests.soak.quiet import Quiet
from tests.soak.run import Run
from tests.soak.shard_records import shard_records

TARGET = "/search/1"
ID = "id-1"


def run(service: str, stamp: str, good: bool = True, request_id: str = ID) -> Run:
    """Return a run of the request at an upstream of a service."""
    return Run(request_id, f"GET {TARGET} HTTP/1.1", service, "i-1", 0.0, stamp, good)


def outcome(kind: str, status: int, body: bytes = b"", **headers: str) -> Outcome:
    """Return what a caller saw."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    answer = Answer("\r\n".join(lines).encode() + b"\r\n\r\n" + body, complete=True)
    return Outcome(ID, kind, TARGET, "front-1", 0.0, 0.1, answer)


def gathered(stamps: str, missing: int, *services: str) -> Outcome:
    """Return a gathered answer with the greatest records of some services."""
    size = len(shard_records(DESK, TARGET)) // const.RECORDS
    bodies = [shard_records(service, TARGET) for service in services]
    records = [body[at : at + size] for body in bodies for at in range(0, len(body), size)]
    body = b"".join(sorted(records, reverse=True)[: const.TOP])
    headers = {HEADERS.part_signatures: stamps, HEADERS.missing_parts: str(missing)}
    return outcome(SEARCH, 200, body, **headers)


class TestAnswerCheck(unittest.TestCase):
    def found(self, seen: Outcome, *runs: Run) -> list[str]:
        ledger = Ledger()
        AnswerCheck(ledger, list(runs)).take(seen)
        return [line.split(": ")[1] for line in ledger.broken]

    def own(self, stamp: str, body: bytes) -> Outcome:
        return outcome(LOOKUP, 200, body, **{HEADERS.signature: stamp})

    def test_good_answers_pass(self) -> None:
        body = shard_records(DESK, TARGET)
        self.assertEqual(self.found(self.own("a", body), run(DESK, "a")), [])
        runs = [run(service, service) for service in SHARDS]
        whole = gathered(", ".join(SHARDS), 0, *SHARDS)
        self.assertEqual(self.found(whole, *runs), [])
        part = gathered(", ".join(SHARDS[1:]), 1, *SHARDS[1:])
        self.assertEqual(self.found(part, *runs), [])

    @params(
        ("another request's stamp", "b", True),
        ("a failed run", "a", False),
    )
    def test_foreign_answers(self, _name: str, stamp: str, good: bool) -> None:
        seen = self.own(stamp, shard_records(DESK, TARGET))
        runs = (run(DESK, "a", good), run(DESK, "b", request_id="id-2"))
        self.assertEqual(self.found(seen, *runs), ["an answer is the caller's own"])

    def test_another_body(self) -> None:
        seen = self.own("a", shard_records(DESK, "/search/2"))
        self.assertEqual(self.found(seen, run(DESK, "a")), ["an answer is the caller's own"])

    def test_an_order_that_ran_twice(self) -> None:
        seen = outcome(ORDER, 502)
        found = self.found(seen, run(DESK, "a"), run(DESK, "b"))
        self.assertEqual(found, ["an order runs at most once"])

    @params(408, 421, 429, 503)
    def test_a_refused_order_that_ran(self, status: int) -> None:
        found = self.found(outcome(ORDER, status), run(DESK, "a"))
        self.assertEqual(found, ["what was refused as not run did not run"])

    def test_a_refused_order_that_runs_later(self) -> None:
        ledger, runs = Ledger(), list[Run]()
        check = AnswerCheck(ledger, runs)
        check.take(outcome(ORDER, 503))
        self.assertEqual(ledger.broken, [])
        runs.append(run(DESK, "a"))
        check.finish()
        self.assertEqual(len(ledger.broken), 1)

    def test_too_many_tries(self) -> None:
        runs = [run(DESK, name) for name in ("a", "b", "c")]
        found = self.found(outcome(LOOKUP, 502), *runs)
        self.assertEqual(found, ["no more tries than the route allows"])

    def test_untold_missing_parts(self) -> None:
        seen = gathered(SHARDS[0], 0, SHARDS[0])
        found = self.found(seen, *(run(service, service) for service in SHARDS))
        self.assertEqual(found, ["coverage is told truly"])

    def test_records_of_a_part_that_is_not_named(self) -> None:
        seen = gathered(", ".join(SHARDS[1:]), 1, *SHARDS)
        found = self.found(seen, *(run(service, service) for service in SHARDS))
        self.assertEqual(found, ["a search gives the greatest records"])

    @params(400, 401, 404, 413)
    def test_denied(self, status: int) -> None:
        found = self.found(outcome(LOOKUP, status))
        self.assertEqual(found, ["no request of a standing route is denied"])


class FakeUpstream:
    """The arrivals at an upstream of the desk."""

    def __init__(self, arrivals: list[tuple[float, str]]) -> None:
        self.service = DESK
        self.arrivals = arrivals


class FakeStage:
    """What the check of the budget reads."""

    def __init__(self, repeats: int) -> None:
        self.sent = [(at / 10, LOOKUP) for at in range(100)]
        first = [(at, f"id-{at}") for at, _kind in self.sent]
        again = [(9.95, request_id) for _, request_id in first]
        self.upstreams = {0: FakeUpstream(first + again[:repeats])}
        self.retired: list[FakeUpstream] = []


class TestBudgetCheck(unittest.TestCase):
    @params((0, False), (BURST, False), (BURST + 20, False), (BURST + 40, True))
    def test_bound(self, repeats: int, broken: bool) -> None:
        ledger = Ledger()
        check_budget(FakeStage(repeats), ledger)  # type: ignore[arg-type]
        self.assertEqual(bool(ledger.broken), broken)


class TestLedger(unittest.TestCase):
    def test_a_part_that_ends_with_an_error_is_a_finding(self) -> None:
        ledger = Ledger()
        ledger.watch(gevent.spawn(int, "seven"))
        gevent.sleep(0.01)
        self.assertEqual(len(ledger.broken), 1)
        self.assertIn("every part of the soak runs on", ledger.broken[0])


class TestQuiet(unittest.TestCase):
    def test_only_a_while_after_the_last_disturbance(self) -> None:
        quiet = Quiet()
        quiet.begin()
        self.assertFalse(quiet.since(time.monotonic() + 100.0))
        quiet.end()
        self.assertFalse(quiet.since(time.monotonic()))
        self.assertTrue(quiet.since(time.monotonic() + const.QUIET_S + 0.1))
