"""Control instances and data centres that are cut off, frozen and come back."""

import time

from bench import deployment_files
from bench.caller import Caller
from bench.deployment import Deployment
from bench.fault_links import FaultLinks
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

from tests.integration.common import DeploymentCase

GROUPS = (GroupPlan("comptoir", 2, 2),)
ENTRIES = ["entry-1", "entry-2", "entry-3"]
FROZEN_S = 4.0


class TestIsolation(DeploymentCase):
    deployment: Deployment
    links: FaultLinks

    def setUp(self) -> None:
        plan = build_plan(GROUPS, controls=3, entries=3)
        self.deployment, self.links = self.deploy_proxied(plan)

    def _identity(self, name: str) -> dict[str, object]:
        body: dict[str, object] = self.deployment.operator(name).get("/v1/identity").body
        return body

    def _status(self, name: str) -> dict[str, object]:
        body: dict[str, object] = self.deployment.operator(name).get("/v1/status").body
        return body

    def _freeze_far_entries(self) -> None:
        """Keep the entries of the other data centres from answering a peer."""
        for name in ("entry-2", "entry-3"):
            self.deployment.processes[name].suspend()

    def _follower(self) -> str:
        leader = self.deployment.leader()
        return next(c.name for c in self.deployment.plan.controls if c.name != leader)

    def test_isolated_control_instance_says_it_is_stale_and_loses_its_entries(self) -> None:
        lonely = self._follower()
        leader = self.deployment.leader()
        self.links.isolate(lonely)
        self.deployment.wait_until(
            lambda: True if self._status(lonely)["stale"] else None, "the lonely one to be stale"
        )
        answer = self.deployment.apply(deployment_files.target_change_note(2, 111), leader)
        self.assertEqual(answer.status, 200)
        self.wait_versions(self.deployment, 2, ENTRIES)
        self.assertEqual(self._status(lonely)["version"], 1)
        moved = self.deployment.operator(lonely.replace("control", "entry")).get("/v1/timeline")
        self.assertIn("control-moved", [event["kind"] for event in moved.body["events"]])
        before = self._identity(leader)
        self.links.restore()
        self.deployment.wait_until(
            lambda: True if self._status(lonely)["version"] == 2 else None, "it to catch up"
        )
        after = self._identity(leader)
        self.assertEqual(
            (after["role"], after["term"]), ("leader", before["term"]), "its return disrupts nobody"
        )

    def test_isolated_leader_accepts_nothing_and_is_replaced(self) -> None:
        old = self.deployment.leader()
        self.links.isolate(old)
        refused = self.deployment.apply(deployment_files.target_change_note(2, 111), old)
        self.assertNotEqual(refused.status, 200)
        others = [c.name for c in self.deployment.plan.controls if c.name != old]
        note = deployment_files.target_change_note(2, 222)
        accepted = self.apply_until_accepted(self.deployment, note, others[0])
        self.wait_versions(self.deployment, 2, ENTRIES)
        self.links.restore()
        self.deployment.wait_until(
            lambda: True if self._status(old)["version"] == 2 else None, "the old leader to follow"
        )
        digests = {self._status(c.name)["digest"] for c in self.deployment.plan.controls}
        self.assertEqual(len(digests), 1)
        self.assertEqual(accepted.body["number"], 2)

    def test_frozen_leader_wakes_with_old_beliefs(self) -> None:
        old = self.deployment.leader()
        others = [c.name for c in self.deployment.plan.controls if c.name != old]
        self.deployment.processes[old].suspend()
        self.apply_until_accepted(
            self.deployment, deployment_files.target_change_note(2, 222), others[0]
        )
        time.sleep(FROZEN_S)
        self.deployment.processes[old].resume()
        raced = self.deployment.apply(deployment_files.target_change_note(2, 111), old)
        self.assertEqual(raced.status, 409)
        self.wait_versions(self.deployment, 2, ENTRIES)

    def test_entry_restarted_in_a_cut_off_data_centre(self) -> None:
        self.links.partition(frozenset({"control-1", "entry-1"}))
        note = deployment_files.target_change_note(2, 111)
        self.apply_until_accepted(self.deployment, note, "control-2")
        self.wait_versions(self.deployment, 2, ["entry-2", "entry-3"])
        self._freeze_far_entries()
        self.deployment.processes["entry-1"].kill()
        self.deployment.start_instance("entry-1")
        self.deployment.wait_ready("entry-1")
        entry = self.deployment.plan.entries[0]
        caller = Caller(entry.entry_port)
        answer = self.deployment.wait_until(
            lambda: found if (found := caller.query("comptoir")).status == 200 else None,
            "the restarted entry to serve",
        )
        self.assertEqual(answer.body["config_version"], 1)
        self.assertGreater(answer.body["config_age_s"], 0.0)
        self.links.restore()
        for name in ("entry-2", "entry-3"):
            self.deployment.processes[name].resume()
        self.wait_versions(self.deployment, 2, ENTRIES)
        self.assertEqual(caller.query("comptoir").body["config_version"], 2)

    def test_restarted_entry_takes_the_newest_version_from_a_peer(self) -> None:
        lonely = self._follower()
        self.links.isolate(lonely)
        leader = self.deployment.leader()
        self.apply_until_accepted(
            self.deployment, deployment_files.target_change_note(2, 111), leader
        )
        self.wait_versions(self.deployment, 2, ENTRIES)
        side = frozenset({lonely, "entry-1", "entry-2"})
        self.links.restore_within(side)
        self.links.partition(side)
        self.deployment.processes["entry-1"].kill()
        self.deployment.start_instance("entry-1")
        self.deployment.wait_ready("entry-1")
        self.assertEqual(self._status(lonely)["version"], 1)
        caller = Caller(self.deployment.plan.entries[0].entry_port)
        answer = self.deployment.wait_until(
            lambda: found if (found := caller.query("comptoir")).status == 200 else None,
            "the restarted entry to serve",
        )
        self.assertEqual(answer.body["config_version"], 2)
