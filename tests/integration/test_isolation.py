"""Control instances and data centres that are isolated or suspended and recover."""

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
SUSPENDED_S = 4.0


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

    def _suspend_remote_entries(self) -> None:
        """Suspend the entries of the other data centres so that they do not answer a peer."""
        for name in ("entry-2", "entry-3"):
            self.deployment.processes[name].suspend()

    def _follower(self) -> str:
        leader = self.deployment.leader()
        return next(c.name for c in self.deployment.plan.controls if c.name != leader)

    def test_isolated_control_instance_is_stale_and_its_entries_move(self) -> None:
        isolated = self._follower()
        leader = self.deployment.leader()
        self.links.isolate(isolated)
        self.deployment.wait_until(
            lambda: True if self._status(isolated)["stale"] else None, f"{isolated} to be stale"
        )
        answer = self.deployment.apply(deployment_files.target_change_note(2, 111), leader)
        self.assertEqual(answer.status, 200)
        self.deployment.wait_versions(2, ENTRIES)
        self.assertEqual(self._status(isolated)["version"], 1)
        timeline = self.deployment.operator(isolated.replace("control", "entry")).get(
            "/v1/timeline"
        )
        self.assertIn("control-moved", [event["kind"] for event in timeline.body["events"]])
        before = self._identity(leader)
        self.links.restore()
        self.deployment.wait_until(
            lambda: True if self._status(isolated)["version"] == 2 else None,
            f"{isolated} to catch up",
        )
        after = self._identity(leader)
        self.assertEqual(
            (after["role"], after["term"]),
            ("leader", before["term"]),
            "the returning instance must not disrupt the leader",
        )

    def test_isolated_leader_accepts_nothing_and_is_replaced(self) -> None:
        old_leader = self.deployment.leader()
        self.links.isolate(old_leader)
        refused = self.deployment.apply(deployment_files.target_change_note(2, 111), old_leader)
        self.assertNotEqual(refused.status, 200)
        others = [c.name for c in self.deployment.plan.controls if c.name != old_leader]
        note = deployment_files.target_change_note(2, 222)
        accepted = self.deployment.apply_until_accepted(note, others[0])
        self.deployment.wait_versions(2, ENTRIES)
        self.links.restore()
        self.deployment.wait_until(
            lambda: True if self._status(old_leader)["version"] == 2 else None,
            f"{old_leader} to catch up",
        )
        digests = {self._status(c.name)["digest"] for c in self.deployment.plan.controls}
        self.assertEqual(len(digests), 1)
        self.assertEqual(accepted.body["number"], 2)

    def test_suspended_leader_resumes_with_stale_state(self) -> None:
        old_leader = self.deployment.leader()
        others = [c.name for c in self.deployment.plan.controls if c.name != old_leader]
        self.deployment.processes[old_leader].suspend()
        self.deployment.apply_until_accepted(deployment_files.target_change_note(2, 222), others[0])
        time.sleep(SUSPENDED_S)
        self.deployment.processes[old_leader].resume()
        conflicting = self.deployment.apply(deployment_files.target_change_note(2, 111), old_leader)
        self.assertEqual(conflicting.status, 409)
        self.deployment.wait_versions(2, ENTRIES)

    def test_entry_restarted_in_an_isolated_data_center(self) -> None:
        self.links.partition(frozenset({"control-1", "entry-1"}))
        note = deployment_files.target_change_note(2, 111)
        self.deployment.apply_until_accepted(note, "control-2")
        self.deployment.wait_versions(2, ["entry-2", "entry-3"])
        self._suspend_remote_entries()
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
        self.deployment.wait_versions(2, ENTRIES)
        self.assertEqual(caller.query("comptoir").body["config_version"], 2)

    def test_restarted_entry_gets_the_newest_version_from_a_peer(self) -> None:
        isolated = self._follower()
        self.links.isolate(isolated)
        leader = self.deployment.leader()
        self.deployment.apply_until_accepted(deployment_files.target_change_note(2, 111), leader)
        self.deployment.wait_versions(2, ENTRIES)
        partition = frozenset({isolated, "entry-1", "entry-2"})
        self.links.restore_within(partition)
        self.links.partition(partition)
        self.deployment.processes["entry-1"].kill()
        self.deployment.start_instance("entry-1")
        self.deployment.wait_ready("entry-1")
        self.assertEqual(self._status(isolated)["version"], 1)
        caller = Caller(self.deployment.plan.entries[0].entry_port)
        answer = self.deployment.wait_until(
            lambda: found if (found := caller.query("comptoir")).status == 200 else None,
            "the restarted entry to serve",
        )
        self.assertEqual(answer.body["config_version"], 2)
