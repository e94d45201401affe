"""Each caller gets its own answer even if upstreams send wrong, swapped or late ones."""

import gevent
from bench.load.generator import offer_load
from bench.load.load_settings import LoadSettings
from bench.load.outcome import Outcome
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from nose2.tools import params

from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.integration.serving_case import ServingCase

GROUP = "comptoir"
SERVICES = {"1": frozenset({"comptoir-01", "comptoir-02"})}
RATE_PER_S = 80.0
DURATION_S = 3.0
FAULT_INTERVAL_S = 0.2
DEADLINE_MS = 600

SWAPPED = BehaviorChange(swap_next=2)
WRONG_IDS = BehaviorChange(wrong_id_next=2)
TRUNCATED = BehaviorChange(truncate_next=2)
LATE = BehaviorChange(late_next=2, late_s=0.5)
RESET = BehaviorChange(reset_connections=True)


class TestOwnAnswer(ServingCase):
    def _start(self) -> None:
        settings = (("median-ms", "10"), ("sigma", "0.5"), ("rows", "3"))
        self.start(
            build_plan(
                (GroupPlan(GROUP, 2, 2, settings=settings),),
                entries=2,
                data_centers=("rennes-a",),
                serving_settings=(("shares", "off"),),
            )
        )

    def _inject_faults(self, changes: tuple[BehaviorChange, ...]) -> None:
        number = 0
        while True:
            self.deployment.change(changes[number % len(changes)])
            number += 1
            gevent.sleep(FAULT_INTERVAL_S)

    @params((SWAPPED, WRONG_IDS), (TRUNCATED, LATE, RESET))
    def test_no_foreign_or_duplicate_rows(self, *changes: BehaviorChange) -> None:
        self._start()
        injecting = gevent.spawn(self._inject_faults, changes)
        endpoints = self.deployment.entry_endpoints()
        run = offer_load(
            LoadSettings(GROUP, endpoints, RATE_PER_S, DURATION_S, deadline_ms=DEADLINE_MS),
            SERVICES,
        )
        injecting.kill()
        self.assertTrue(injecting.successful(), injecting.exception)
        self.assertEqual([item for item in run.records if item.wrong], [])
        self.check_most_answered(run.records, run.started)
        failed = [item for item in run.records if item.outcome is Outcome.FAILED]
        self.assertEqual(failed, [], "every caller gets an answer or a coded refusal")
