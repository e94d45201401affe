import contextlib
import random
import time
import unittest
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from bench.load.answer_check import AnswerCheck
from bench.load.answer_error_kind import AnswerErrorKind
from bench.load.answer_row import AnswerRow
from bench.load.generator import offer_load
from bench.load.load_run import LoadRun
from bench.load.load_settings import LoadSettings
from bench.load.outcome import Outcome
from bench.load.query_answer import QueryAnswer
from bench.load.query_record import QueryRecord
from bench.load.request_id import create_request_id
from bench.load.summary import summarize
from gevent.pywsgi import WSGIServer
from nose2.tools import params

from spindle_decisions.wire.headers import HEADER_CODE
from spindle_devkit.endpoint import Endpoint
from spindle_devkit.no_delay_handler import NoDelayHandler

MARK = "load-7"
STALL_S = 0.4


def row(service: str, key: str = "k", snapshot: str = "1.2", mark: str = MARK) -> AnswerRow:
    return AnswerRow(service, snapshot, key, {"mark": mark})


def answer(*rows: AnswerRow, **changes: Any) -> QueryAnswer:
    good = QueryAnswer("r", "1.2", 3, ["a", "b"], ["c"], list(rows) or [row("a"), row("b")])
    return msgspec.structs.replace(good, **changes)


def load_stub(reply: Callable[[str], tuple[str, dict[str, str], Any]], rate: float) -> LoadRun:
    """Send half a second of load to a stub server in this process."""

    def application(environ: dict[str, Any], start: Any) -> Iterator[bytes]:
        body = msgspec.json.decode(environ["wsgi.input"].read())
        status, headers, answered = reply(body["query"]["mark"])
        start(status, list(headers.items()))
        return iter([msgspec.json.encode(answered)])

    server = WSGIServer(("127.0.0.1", 0), application, log=None, handler_class=NoDelayHandler)
    server.start()
    with contextlib.closing(server):
        entry = Endpoint("127.0.0.1", server.server_port)
        return offer_load(LoadSettings("comptoir", (entry,), rate, 0.5, seed=3))


class TestAnswerCheck(unittest.TestCase):
    @params(
        (answer(), ()),
        (answer(row("a"), row("b", snapshot="1.1")), (AnswerErrorKind.MIXED,)),
        (answer(row("a"), row("b", mark="load-8")), (AnswerErrorKind.FOREIGN,)),
        (answer(row("a"), row("a"), row("b")), (AnswerErrorKind.DUPLICATED,)),
        (answer(row("a"), row("b"), row("c")), (AnswerErrorKind.UNCOVERED,)),
        (answer(row("a")), (AnswerErrorKind.EMPTY,)),
        (answer(services_total=2), (AnswerErrorKind.MISCOUNTED,)),
        (answer(missing=["a"]), (AnswerErrorKind.MISCOUNTED,)),
        (answer(missing=[], services_total=2), (AnswerErrorKind.MISCOUNTED,)),
        (answer(row("a", snapshot="2.1"), row("b", snapshot="2.1"), snapshot="2.1"), ()),
    )
    def test_finds_each_kind_of_error(
        self, checked: QueryAnswer, wrong: tuple[AnswerErrorKind, ...]
    ) -> None:
        check = AnswerCheck({"1": frozenset({"a", "b", "c"})})
        self.assertEqual(check.find_errors(checked, MARK), wrong)


class TestGenerator(unittest.TestCase):
    def test_a_stall_counts_for_every_query_that_was_due(self) -> None:
        def stall_once(mark: str) -> tuple[str, dict[str, str], Any]:
            if mark == "load-5":
                time.sleep(STALL_S)
            return "200 OK", {}, answer(row("a", mark=mark), row("b", mark=mark))

        run = load_stub(stall_once, rate=100.0)
        delayed = [item for item in run.records if item.latency_ms > 100.0]
        self.assertGreater(len(delayed), 10)
        self.assertGreater(max(item.latency_ms for item in delayed), 300.0)
        self.assertEqual({item.outcome for item in run.records}, {Outcome.ANSWERED})
        self.assertEqual(summarize(run.records).wrong, 0)

    @params(
        ("503 X", {HEADER_CODE: "overloaded"}, Outcome.REFUSED, True),
        ("504 X", {HEADER_CODE: "deadline-exceeded"}, Outcome.REFUSED, False),
        ("502 X", {}, Outcome.FAILED, False),
        ("200 OK", {}, Outcome.FAILED, False),
    )
    def test_outcomes(
        self, status: str, headers: dict[str, str], outcome: Outcome, not_run: bool
    ) -> None:
        run = load_stub(lambda _mark: (status, headers, []), rate=20.0)
        self.assertEqual({item.outcome for item in run.records}, {outcome})
        self.assertEqual({item.not_run for item in run.records}, {not_run})

    def test_equal_seeds_give_equal_arrivals(self) -> None:
        runs = [load_stub(lambda _mark: ("502 X", {}, []), rate=50.0) for _ in range(2)]
        first, second = ([item.at_s for item in run.records] for run in runs)
        self.assertEqual(first, second)


class TestSummary(unittest.TestCase):
    def test_declined_queries_do_not_improve_the_latencies(self) -> None:
        records = [
            QueryRecord("1", 0.0, 100.0, Outcome.ANSWERED, 0, covered=2, services=2),
            QueryRecord("2", 0.0, 500.0, Outcome.ANSWERED, 0, covered=1, services=2),
            QueryRecord("3", 0.0, 1.0, Outcome.REFUSED, 0, "overloaded", not_run=True),
            QueryRecord("4", 0.0, 900.0, Outcome.REFUSED, 0, "deadline-exceeded", not_run=True),
        ]
        figures = summarize(records)
        self.assertAlmostEqual(figures.p50_ms, 500.0, delta=1.0)
        self.assertAlmostEqual(figures.p99_ms, 900.0, delta=1.0)
        self.assertAlmostEqual(figures.refusal_p99_ms, 1.0, delta=0.1)
        self.assertEqual(
            (figures.late_ratio, figures.full_coverage_ratio, figures.refused_ratio),
            (0.5, 0.25, 0.5),
        )
        self.assertEqual(figures.mean_coverage, 0.75)


class TestRequestId(unittest.TestCase):
    def test_is_a_uuid_of_version_7_with_its_time(self) -> None:
        parsed = uuid.UUID(create_request_id(1_700_000_000_123, random.Random(1)))
        self.assertEqual((parsed.version, parsed.variant), (7, uuid.RFC_4122))
        self.assertEqual(parsed.int >> 80, 1_700_000_000_123)
