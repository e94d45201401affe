"""Graceful shutdown under load interrupts no request, even if the load balancer still sends."""

import time

import gevent
import msgspec
from bench.caller import Caller
from bench.cli import spindlectl
from bench.load.generator import offer_load
from bench.load.load_run import LoadRun
from bench.load.load_settings import LoadSettings
from bench.load.outcome import Outcome
from bench.load.run_answer import RunAnswer
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from bench.ports import LOOPBACK

from spindle_devkit.endpoint import Endpoint
from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.integration.serving_case import IdSource, ServingCase

QUERIES = "comptoir"
RUNS = "reservations"
RATE_PER_S = 60.0
LOAD_BEFORE_STOP_S = 1.0
STOP_LAG_S = 2.0
LOAD_DURATION_S = LOAD_BEFORE_STOP_S + 0.8 * STOP_LAG_S
RUN_INTERVAL_S = 0.05
SLOW_MS = 3_000.0
LONG_DEADLINE_MS = 8_000
STOP_TIMEOUT_S = 30.0


class TestStop(ServingCase):
    def setUp(self) -> None:
        slow = (("median-ms", "60"), ("straggler-ratio", "0.05"), ("straggler-factor", "8"))
        self.start(
            build_plan(
                (
                    GroupPlan(QUERIES, 3, 2, settings=slow),
                    GroupPlan(RUNS, 1, 2, kind="request", settings=slow),
                ),
                entries=2,
                data_centers=("rennes-a",),
                entry_settings=(("stop-lag-ms", str(int(STOP_LAG_S * 1000))),),
                serving_settings=(("shares", "off"),),
            )
        )
        self.stopping = self.deployment.plan.entries[0]
        self.ids = IdSource()

    def test_no_request_is_interrupted(self) -> None:
        load = gevent.spawn(self._load)
        runs = gevent.spawn(self._send_runs)
        gevent.sleep(LOAD_BEFORE_STOP_S)
        process = self.deployment.processes[self.stopping.name]
        process.terminate()
        run, answers = load.get(), runs.get()
        records = run.records
        self.assertTrue(process.running or process.wait(0) == 0)
        code = process.wait(STOP_TIMEOUT_S)
        self.assertEqual(code, 0, self.deployment.log_tails())
        failed = [item for item in records if item.outcome is Outcome.FAILED]
        self.assertEqual(failed, [], "every query gets an answer or a coded refusal")
        self.assertEqual([item for item in records if item.wrong], [])
        during = [item for item in records if item.at_s > LOAD_BEFORE_STOP_S + 0.2]
        # The instance keeps serving while the load balancer still sends.
        self.check_most_answered(during, run.started)
        self.assertEqual([item for item in answers if item.status == 0], [])
        self.assertLessEqual({item.code for item in answers}, {"", "overloaded", "not-run"})
        self._check_page(len(records), len(answers))

    def test_late_arrivals_are_refused_as_leaving(self) -> None:
        self.deployment.change(BehaviorChange(median_ms=SLOW_MS, straggler_ratio=0.0))
        process = self.deployment.processes[self.stopping.name]
        process.terminate()
        gevent.sleep(0.8 * STOP_LAG_S)
        caller = Caller(self.stopping.entry_port)
        in_flight = gevent.spawn(caller.query, QUERIES, LONG_DEADLINE_MS)
        gevent.sleep(0.4 * STOP_LAG_S)
        late = [caller.query(QUERIES, LONG_DEADLINE_MS).code for _ in range(5)]
        self.assertEqual(late, ["leaving"] * 5)
        runner = self.runner(0, RUNS)
        self.assertEqual(runner.run(self.ids.next(), "k", {"mark": "late"}).code, "leaving")
        self.assertEqual(self.started("late"), [])
        self.assertEqual((in_flight.get().status, in_flight.get().body["missing"]), (200, []))
        self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)

    def _check_page(self, queries: int, runs: int) -> None:
        """Check that the page has all counts of the stopped instance and no gap."""
        done = spindlectl(self.deployment, "page", "--format", "json", "--timezone", "UTC")
        self.assertEqual(done.returncode, 0, done.stderr)
        page = msgspec.json.decode(done.stdout)
        arrived = {group["group"]: group["arrived"] for group in page["groups"]}
        self.assertEqual(arrived, {QUERIES: queries, RUNS: runs})
        gaps = [gap for gap in page["gaps"] if gap["instance"] == self.stopping.name]
        self.assertEqual(gaps, [])

    def _load(self) -> LoadRun:
        endpoint = Endpoint(LOOPBACK, self.stopping.entry_port)
        return offer_load(
            LoadSettings(QUERIES, (endpoint,), RATE_PER_S, LOAD_DURATION_S, deadline_ms=1_500)
        )

    def _send_runs(self) -> list[RunAnswer]:
        caller = self.runner(0, RUNS, 1_500)
        sent = []
        until = time.monotonic() + LOAD_DURATION_S
        while time.monotonic() < until:
            mark = f"run-{len(sent)}"
            sent.append(gevent.spawn(caller.run, self.ids.next(), "k", {"mark": mark}))
            gevent.sleep(RUN_INTERVAL_S)
        return [job.get() for job in sent]
