"""A draining upstream gets no new requests after a few seconds."""

import time

import gevent
from bench import deployment_files
from bench.load.generator import offer_load
from bench.load.load_run import LoadRun
from bench.load.load_settings import LoadSettings
from bench.load.run_answer import RunAnswer
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from nose2.tools import params

from spindle_decisions.util.units import MS_PER_S
from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.integration.serving_case import IdSource, ServingCase

QUERIES = "comptoir"
RUNS = "reservations"
DRAINING = ("comptoir-01-a", "reservations-01-a")
MAX_DRAIN_DELAY_MS = 3_000
LOAD_AFTER_DRAIN_S = 4.2
RATE_PER_S = 70.0
RUN_INTERVAL_S = 0.03
DEADLINE_MS = 900


class TestLeaving(ServingCase):
    def setUp(self) -> None:
        slow = (("median-ms", "40"), ("straggler-ratio", "0.05"), ("straggler-factor", "10"))
        self.start(
            build_plan(
                (
                    GroupPlan(QUERIES, 2, 3, settings=slow),
                    GroupPlan(RUNS, 1, 3, kind="request", settings=slow),
                ),
                controls=1,
                entries=2,
                data_centers=("rennes-a",),
            )
        )
        self.ids = IdSource()

    @params("note", "signal_without_control")
    def test_no_new_work_under_load(self, way: str) -> None:
        load = gevent.spawn(self._load)
        runs = gevent.spawn(self._send_runs)
        gevent.sleep(1.0)
        drained_at_ms = time.time() * MS_PER_S
        getattr(self, f"_{way}")()
        run, answers = load.get(), runs.get()
        late = [
            item
            for item in self.deployment.executions()
            if item.upstream in DRAINING and item.arrived_ms > drained_at_ms + MAX_DRAIN_DELAY_MS
        ]
        self.assertEqual(
            late,
            [],
            f"{len(late)} requests arrived {MAX_DRAIN_DELAY_MS} ms or more after the drain",
        )
        before = [
            item
            for item in self.deployment.executions()
            if item.upstream in DRAINING and item.arrived_ms < drained_at_ms
        ]
        self.assertEqual({item.upstream for item in before}, set(DRAINING))
        self.check_most_answered(run.records, run.started)
        self.assertIn(200, {answer.status for answer in answers})

    def _load(self) -> LoadRun:
        endpoints = self.deployment.entry_endpoints()
        duration_s = 1.0 + LOAD_AFTER_DRAIN_S
        return offer_load(
            LoadSettings(QUERIES, endpoints, RATE_PER_S, duration_s, deadline_ms=DEADLINE_MS)
        )

    def _send_runs(self) -> list[RunAnswer]:
        callers = [self.runner(entry, RUNS, DEADLINE_MS) for entry in (0, 1)]
        sent = []
        for number in range(int((1.0 + LOAD_AFTER_DRAIN_S) / RUN_INTERVAL_S)):
            caller = callers[number % 2]
            body = {"mark": f"run-{number}"}
            sent.append(gevent.spawn(caller.run, self.ids.next(), "k", body))
            gevent.sleep(RUN_INTERVAL_S)
        return [job.get() for job in sent]

    def _note(self) -> None:
        """Drain by release note only; the upstreams themselves still accept requests."""
        sections = {"note": deployment_files.note_header(2)}
        sections |= {f"changed upstream {name}": {"draining": "yes"} for name in DRAINING}
        answer = self.deployment.apply(deployment_files.render_ini(sections))
        self.assertEqual(answer.status, 200, answer)

    def _signal_without_control(self) -> None:
        self.deployment.processes["control-1"].kill()
        for name in DRAINING:
            self.deployment.change(BehaviorChange(upstream=name, draining=True))
