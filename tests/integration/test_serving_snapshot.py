"""Each answer comes from one snapshot while index versions switch and shards move."""

import dataclasses
from collections.abc import Sequence

import gevent
from bench import deployment_files
from bench.load.generator import offer_load
from bench.load.load_run import LoadRun
from bench.load.load_settings import LoadSettings
from bench.load.outcome import Outcome
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from bench.ports import LOOPBACK

from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.integration.serving_case import ServingCase

GROUP = "comptoir"
RETIRED = ["comptoir-01"]
KEPT = ["comptoir-02", "comptoir-03"]
MOVED = ["comptoir-04", "comptoir-05"]
BY_EPOCH = {"1": frozenset(RETIRED + KEPT), "2": frozenset(KEPT + MOVED)}
OLD, NEXT, REPARTITIONED = "1.1", "1.2", "2.1"
RATE_PER_S = 60.0
DURATION_S = 7.0
ROLL_INTERVAL_S = 0.06


class TestSnapshot(ServingCase):
    def setUp(self) -> None:
        group = GroupPlan(GROUP, 5, 2, settings=(("median-ms", "8"), ("rows", "2")))
        plan = build_plan((group,), entries=2, data_centers=("rennes-a",))
        now = tuple(item for item in plan.upstreams if item.service not in MOVED)
        later = tuple(item for item in plan.upstreams if item.service in MOVED)
        first = dataclasses.replace(group, services=len(BY_EPOCH["1"]))
        self.start(dataclasses.replace(plan, groups=(first,), upstreams=now), later)

    def test_answers_never_mix_snapshots(self) -> None:
        self._prepare_second_epoch()
        switching = gevent.spawn(self._switch)
        run = self._load()
        switching.get()
        self.assertEqual([item for item in run.records if item.wrong], [])
        self._check_snapshots(run)

    def _load(self) -> LoadRun:
        settings = LoadSettings(
            GROUP, self.deployment.entry_endpoints(), RATE_PER_S, DURATION_S, seed=1
        )
        return offer_load(settings, BY_EPOCH)

    def _check_snapshots(self, run: LoadRun) -> None:
        answered = [item for item in run.records if item.outcome is Outcome.ANSWERED]
        self.assertEqual({item.snapshot for item in answered}, {OLD, NEXT, REPARTITIONED})
        self.check_unanswered(run.records, run.started)
        for item in answered:
            self.assertEqual(item.services, len(BY_EPOCH[item.snapshot[0]]), item)

    def _prepare_second_epoch(self) -> None:
        sections = {"note": deployment_files.note_header(2)}
        sections |= {f"changed service {name}": {"last-epoch": "1"} for name in RETIRED}
        for name in MOVED:
            sections[f"added service {name}"] = {"group": GROUP, "first-epoch": "2"}
        for item in self.deployment.upstreams:
            if item.service in MOVED:
                sections[f"added upstream {item.name}"] = {
                    "service": item.service,
                    "data-center": item.data_center,
                    "address": f"{LOOPBACK}:{item.port}",
                }
        for name in self._upstreams(MOVED):
            self.deployment.change(BehaviorChange(upstream=name, snapshots=(REPARTITIONED,)))
        self._apply(sections)

    def _switch(self) -> None:
        """Roll out an index version, move shards, then withdraw the retired services."""
        gevent.sleep(0.5)
        self._roll(RETIRED + KEPT, (OLD, NEXT))
        self._roll(RETIRED + KEPT, (NEXT,))
        gevent.sleep(1.0)
        self._roll(KEPT, (NEXT, REPARTITIONED))
        self._apply(
            {"note": deployment_files.note_header(3), f"changed group {GROUP}": {"epoch": "2"}}
        )
        gevent.sleep(1.5)
        self._roll(KEPT, (REPARTITIONED,))
        withdrawn = [f"withdrawn upstream {name}" for name in self._upstreams(RETIRED)]
        withdrawn += [f"withdrawn service {name}" for name in RETIRED]
        self._apply({"note": deployment_files.note_header(4)} | {name: {} for name in withdrawn})

    def _roll(self, services: Sequence[str], snapshots: tuple[str, ...]) -> None:
        for name in self._upstreams(services):
            self.deployment.change(BehaviorChange(upstream=name, snapshots=snapshots))
            gevent.sleep(ROLL_INTERVAL_S)

    def _upstreams(self, services: Sequence[str]) -> list[str]:
        return [item.name for item in self.deployment.upstreams if item.service in services]

    def _apply(self, sections: dict[str, dict[str, str]]) -> None:
        answer = self.deployment.apply(deployment_files.render_ini(sections))
        self.assertEqual(answer.status, 200, answer)
