"""Tests that the checks of the soak detect violations."""

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
from tests.soak.disturbance_log import DisturbanceLog
from tests.soak.ledger import CheckResults
from tests.soak.outcome import Outcome
from tests.soak.plan_document import LOOKUP_SERVICE, SHARDS
from tests.soak.process_monitor import ProcessMonitor
from tests.soak.rejected_write import RejectedWrite
from tests.soak.shard_records import shard_records
from tests.soak.soak_execution import SoakExecution

TARGET = "/search/1"
ID = "id-1"


def execution(
    service: str, signature: str, valid: bool = True, request_id: str = ID
) -> SoakExecution:
    """Return an execution of the request at an upstream of a service."""
    return SoakExecution(
        request_id, f"GET {TARGET} HTTP/1.1", service, "i-1", 0.0, signature, valid
    )


def outcome(kind: str, status: int, body: bytes = b"", **headers: str) -> Outcome:
    """Return the outcome of a request."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    answer = Answer("\r\n".join(lines).encode() + b"\r\n\r\n" + body, complete=True)
    return Outcome(ID, kind, TARGET, "front-1", 0.0, 0.1, answer)


def gathered(signatures: str, missing: int, *services: str) -> Outcome:
    """Return the outcome of a gathered answer with the greatest records of some services."""
    size = len(shard_records(LOOKUP_SERVICE, TARGET)) // const.RECORDS_PER_SHARD
    bodies = [shard_records(service, TARGET) for service in services]
    records = [body[at : at + size] for body in bodies for at in range(0, len(body), size)]
    body = b"".join(sorted(records, reverse=True)[: const.TOP])
    headers = {HEADERS.part_signatures: signatures, HEADERS.missing_parts: str(missing)}
    return outcome(SEARCH, 200, body, **headers)


class TestAnswerCheck(unittest.TestCase):
    def violations_of(self, seen: Outcome, *executions: SoakExecution) -> list[str]:
        results = CheckResults()
        AnswerCheck(results, list(executions)).on_outcome(seen)
        return [line.split(": ")[1] for line in results.violations]

    def own_answer(self, signature: str, body: bytes) -> Outcome:
        return outcome(LOOKUP, 200, body, **{HEADERS.signature: signature})

    def test_good_answers_pass(self) -> None:
        body = shard_records(LOOKUP_SERVICE, TARGET)
        self.assertEqual(
            self.violations_of(self.own_answer("a", body), execution(LOOKUP_SERVICE, "a")), []
        )
        executions = [execution(service, service) for service in SHARDS]
        complete = gathered(", ".join(SHARDS), 0, *SHARDS)
        self.assertEqual(self.violations_of(complete, *executions), [])
        partial = gathered(", ".join(SHARDS[1:]), 1, *SHARDS[1:])
        self.assertEqual(self.violations_of(partial, *executions), [])

    @params(
        ("another request's stamp", "b", True),
        ("a failed run", "a", False),
    )
    def test_foreign_answers(self, _name: str, signature: str, valid: bool) -> None:
        seen = self.own_answer(signature, shard_records(LOOKUP_SERVICE, TARGET))
        executions = (
            execution(LOOKUP_SERVICE, "a", valid),
            execution(LOOKUP_SERVICE, "b", request_id="id-2"),
        )
        self.assertEqual(self.violations_of(seen, *executions), ["an answer is the caller's own"])

    def test_another_body(self) -> None:
        seen = self.own_answer("a", shard_records(LOOKUP_SERVICE, "/search/2"))
        self.assertEqual(
            self.violations_of(seen, execution(LOOKUP_SERVICE, "a")),
            ["an answer is the caller's own"],
        )

    def test_order_that_ran_twice(self) -> None:
        seen = outcome(ORDER, 502)
        found = self.violations_of(
            seen, execution(LOOKUP_SERVICE, "a"), execution(LOOKUP_SERVICE, "b")
        )
        self.assertEqual(found, ["an order runs at most once"])

    @params(408, 421, 429, 503)
    def test_refused_order_that_ran(self, status: int) -> None:
        found = self.violations_of(outcome(ORDER, status), execution(LOOKUP_SERVICE, "a"))
        self.assertEqual(found, ["what was refused as not run did not run"])

    def test_refused_order_that_runs_later(self) -> None:
        results, executions = CheckResults(), list[SoakExecution]()
        check = AnswerCheck(results, executions)
        check.on_outcome(outcome(ORDER, 503))
        self.assertEqual(results.violations, [])
        executions.append(execution(LOOKUP_SERVICE, "a"))
        check.recheck()
        self.assertEqual(len(results.violations), 1)

    def test_too_many_attempts(self) -> None:
        executions = [execution(LOOKUP_SERVICE, name) for name in ("a", "b", "c")]
        found = self.violations_of(outcome(LOOKUP, 502), *executions)
        self.assertEqual(found, ["no more tries than the route allows"])

    def test_wrong_number_of_missing_parts(self) -> None:
        seen = gathered(SHARDS[0], 0, SHARDS[0])
        found = self.violations_of(seen, *(execution(service, service) for service in SHARDS))
        self.assertEqual(found, ["coverage is told truly"])

    def test_records_of_an_unlisted_part(self) -> None:
        seen = gathered(", ".join(SHARDS[1:]), 1, *SHARDS)
        found = self.violations_of(seen, *(execution(service, service) for service in SHARDS))
        self.assertEqual(found, ["a search gives the greatest records"])

    @params(400, 401, 404, 413)
    def test_denied(self, status: int) -> None:
        found = self.violations_of(outcome(LOOKUP, status))
        self.assertEqual(found, ["no request of a standing route is denied"])


class FakeUpstream:
    """An upstream of the service `LOOKUP_SERVICE` with given arrivals."""

    def __init__(self, arrivals: list[tuple[float, str]]) -> None:
        self.service = LOOKUP_SERVICE
        self.arrivals = arrivals


class FakeEnvironment:
    """An environment with 100 requests in 10 s and a number of retries."""

    def __init__(self, retries: int) -> None:
        self.requests_sent = [(at / 10, LOOKUP) for at in range(100)]
        first = [(at, f"id-{at}") for at, _kind in self.requests_sent]
        again = [(9.95, request_id) for _, request_id in first]
        self.upstreams = {0: FakeUpstream(first + again[:retries])}
        self.retired: list[FakeUpstream] = []


class TestBudgetCheck(unittest.TestCase):
    @params((0, False), (BURST, False), (BURST + 20, False), (BURST + 40, True))
    def test_bound(self, retries: int, violated: bool) -> None:
        results = CheckResults()
        check_budget(FakeEnvironment(retries), results)  # type: ignore[arg-type]
        self.assertEqual(bool(results.violations), violated)


class FakeChild:
    """A process that has ended."""

    pid = 7
    returncode = -9


class FakeProcess:
    """The handle of a process that has ended."""

    running = False

    def __init__(self) -> None:
        self.child = FakeChild()


class FakeProcesses:
    """An environment whose only process keeps ending."""

    names = ("core-1",)

    def __init__(self, rejected: RejectedWrite | None) -> None:
        self.rejected = rejected
        self.fleet = self
        self.processes = {"core-1": FakeProcess()}
        self.starts = 0

    def rejected_write(self, _name: str) -> RejectedWrite | None:
        return self.rejected

    def start_instance(self, _name: str) -> None:
        self.starts += 1


class TestProcessMonitor(unittest.TestCase):
    """Regression: an exit seen after the end of the full disk that caused it was a violation."""

    @params(
        ("first exit by a full disk, seen at any time", RejectedWrite(7, 1), 1, 0),
        ("second exit by the same full disk", RejectedWrite(7, 1), 2, 1),
        ("exit without a rejected write", None, 1, 1),
        ("an earlier process had the rejected write", RejectedWrite(6, 1), 1, 1),
    )
    def test_only_a_rejected_write_may_end_a_process(
        self, _what: str, rejected: RejectedWrite | None, exits: int, violations: int
    ) -> None:
        results = CheckResults()
        processes = FakeProcesses(rejected)
        monitor = ProcessMonitor(processes, results)  # type: ignore[arg-type]
        for _ in range(exits):
            monitor.check("core-1")
        self.assertEqual(len(results.violations), violations)
        self.assertEqual(processes.starts, exits)


class TestCheckResults(unittest.TestCase):
    def test_failed_greenlet_is_a_violation(self) -> None:
        results = CheckResults()
        results.monitor(gevent.spawn(int, "seven"))
        gevent.sleep(0.01)
        self.assertEqual(len(results.violations), 1)
        self.assertIn("every part of the soak runs on", results.violations[0])


class TestDisturbanceLog(unittest.TestCase):
    def test_quiet_only_after_the_margin(self) -> None:
        disturbances = DisturbanceLog()
        disturbances.begin()
        self.assertFalse(disturbances.quiet_since(time.monotonic() + 100.0))
        disturbances.end()
        self.assertFalse(disturbances.quiet_since(time.monotonic()))
        self.assertTrue(disturbances.quiet_since(time.monotonic() + const.QUIET_DURATION_S + 0.1))
