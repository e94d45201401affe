import pathlib
import unittest

import msgspec
from bench.experiments.arm import Arm
from bench.experiments.catalog import find_experiments
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import number
from bench.experiments.runner import run_experiment
from bench.experiments.serving.load_totals import added_load_ratio, upstream_totals
from bench.experiments.serving.not_run_check import count_false_not_run
from bench.experiments.target import at_least, at_most
from bench.load.outcome import Outcome
from bench.load.query_record import QueryRecord
from nose2.tools import params

from spindle_devkit.upstream.counters import Counters
from spindle_devkit.upstream.execution import Execution

CONTEXT = Context(seed=4, short=True, folder=pathlib.Path())
SERVING = {"connections", "cost", "overload", "snapshot-switch", "stragglers", "upstream-fault"}


def record(mark: str, covered: int = 0, not_run: bool = False) -> QueryRecord:
    return QueryRecord(mark, 0.0, 1.0, Outcome.ANSWERED, 0, covered=covered, not_run=not_run)


def execution(mark: str, started_ms: float) -> Execution:
    asked = f'{{"mark":"{mark}"}}'
    return Execution("u", "query", "r", "1.1", "", asked, None, 1.0, started_ms=started_ms)


class TestRunner(unittest.TestCase):
    def test_finds_the_serving_set(self) -> None:
        self.assertLessEqual(SERVING, set(find_experiments()))

    def test_report_has_the_common_form(self) -> None:
        experiment = Experiment(
            "e",
            "",
            lambda _context: [Arm("tier", lambda: {"p99_ms": 3.0})],
            lambda arms: [at_most("p99", number(arms["tier"], "p99_ms"), 2.0)],
        )
        data = msgspec.json.encode(run_experiment(experiment, CONTEXT))
        self.assertEqual(
            msgspec.json.decode(data),
            {
                "experiment": "e",
                "seed": 4,
                "arms": {"tier": {"p99_ms": 3.0}},
                "targets": [{"name": "p99", "bound": "<= 2", "value": 3.0, "met": False}],
            },
        )

    @params((at_most("n", 2.0, 2.0), True), (at_least("n", 1.9, 2.0), False))
    def test_bounds_are_inclusive(self, target: object, met: bool) -> None:
        self.assertEqual(getattr(target, "met", None), met)


class TestTotals(unittest.TestCase):
    def test_work_for_unanswered_queries_is_added_load(self) -> None:
        self.assertEqual(added_load_ratio(60, [record("1", 20), record("2", 20), record("3")]), 0.5)

    def test_a_restarted_upstream_counts_from_its_new_start(self) -> None:
        before = {"a": Counters(arrived=10), "b": Counters(arrived=10)}
        after = {"a": Counters(arrived=15), "b": Counters(arrived=3)}
        self.assertEqual(upstream_totals(before, after)["arrived"], 8)

    def test_counts_executed_queries_reported_as_not_run(self) -> None:
        records = [record("1", not_run=True), record("2", not_run=True), record("3")]
        executions = [execution("1", 5.0), execution("2", 0.0), execution("3", 5.0)]
        self.assertEqual(count_false_not_run(records, executions), 1)
