"""Recovery from lost disks, a second loss, and full restarts after many notes."""

import msgspec
from bench import deployment_files
from bench.deployment import Deployment
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

from tests.integration.common import DeploymentCase

GROUPS = (GroupPlan("comptoir", 2, 2),)
ENTRIES = ["entry-1", "entry-2"]
MANY_NOTES = 300


class TestRecovery(DeploymentCase):
    deployment: Deployment

    def setUp(self) -> None:
        settings = (("snapshot-every", "50"),)
        plan = build_plan(GROUPS, controls=3, entries=2, control_settings=settings)
        self.deployment = self.deploy(plan)

    def _voters(self, name: str) -> dict[str, str]:
        members = self.deployment.operator(name).get("/v1/members").body
        return {item["name"]: item["folder_id"] for item in members if item["voter"]}

    def _apply_many(self, first: int, count: int, control: str) -> None:
        for number in range(first, first + count):
            answer = self.deployment.apply(
                deployment_files.target_change_note(number, 100 + number), control
            )
            self.assertEqual(answer.status, 200, answer)

    def test_second_instance_lost_right_after_the_repair(self) -> None:
        leader = self.deployment.leader()
        lost, second = (c.name for c in self.deployment.plan.controls if c.name != leader)
        self._apply_many(2, 60, leader)
        old_folder = self._voters(leader)[lost]
        self.deployment.processes[lost].kill()
        self.deployment.erase_data_folder(lost)
        self.deployment.start_instance(lost)

        def repaired() -> bool | None:
            voters = self._voters(leader)
            return True if len(voters) == 3 and voters[lost] != old_folder else None

        self.deployment.wait_until(repaired, f"{lost} to vote again with a new folder")
        self.deployment.processes[second].kill()
        answer = self.deployment.apply_until_accepted(
            deployment_files.target_change_note(62, 999), leader
        )
        self.assertEqual(answer.body["version"], 62)
        self.deployment.wait_versions(62, ENTRIES)

    def test_emptied_majority_accepts_nothing(self) -> None:
        leader = self.deployment.leader()
        others = [c.name for c in self.deployment.plan.controls if c.name != leader]
        for name in others:
            self.deployment.processes[name].kill()
            self.deployment.erase_data_folder(name)
        for name in others:
            self.deployment.start_instance(name)
            self.deployment.wait_answer(name, "/v1/identity")
        answer = self.deployment.apply(deployment_files.target_change_note(2, 111), leader)
        self.assertNotEqual(answer.status, 200)
        for name in others:
            identity = self.deployment.operator(name).get("/v1/identity").body
            self.assertTrue(identity["blank"])

    def test_forced_membership_is_refused_while_a_majority_may_be_alive(self) -> None:
        leader = self.deployment.leader()
        repair = msgspec.json.encode(
            {"action": "force-membership", "members": [leader], "reason": "drill"}
        )
        for control in self.deployment.plan.controls:
            answer = self.deployment.operator(control.name).post("/v1/repair", repair)
            self.assertEqual(answer.status, 409, answer)

    def test_forced_membership_continues_with_the_remaining_instance(self) -> None:
        self._apply_many(2, 10, self.deployment.leader())
        kept, *lost = (control.name for control in self.deployment.plan.controls)
        self.deployment.wait_until(
            lambda: self._version(kept) == 11 or None, f"{kept} to hold every note"
        )
        for name in lost:
            self.deployment.processes[name].kill()
            self.deployment.erase_data_folder(name)
        repair = msgspec.json.encode(
            {"action": "force-membership", "members": [kept], "reason": "two disks burnt"}
        )

        def forced() -> bool | None:
            answer = self.deployment.operator(kept).post("/v1/repair", repair)
            return True if answer.status == 200 else None

        self.deployment.wait_until(forced, "forced membership to be accepted")
        answer = self.deployment.apply_until_accepted(
            deployment_files.target_change_note(12, 999), kept
        )
        self.assertEqual(answer.body["version"], 12)
        events = self.deployment.operator(kept).get("/v1/timeline").body["events"]
        reasons = [item["reason"] for item in events if item["kind"] == "members-forced"]
        self.assertIn("two disks burnt", reasons)

    def test_restart_of_everything_after_hundreds_of_notes(self) -> None:
        leader = self.deployment.leader()
        self._apply_many(2, MANY_NOTES - 1, leader)
        before = self.deployment.operator(leader).get("/v1/status").body
        first = self.deployment.operator(leader).get("/v1/notes/2").body
        for instance in self.deployment.instances:
            self.deployment.processes[instance].kill()
        for instance in self.deployment.instances:
            self.deployment.start_instance(instance)
        for entry in ENTRIES:
            self.deployment.wait_ready(entry)
        self.deployment.wait_versions(MANY_NOTES, ENTRIES)
        for control in self.deployment.plan.controls:
            self.deployment.wait_until(
                lambda name=control.name: self._has_digest(name, before["digest"]) or None,
                f"the digest at {control.name}",
            )
            shown = self.deployment.operator(control.name).get("/v1/notes/2").body
            self.assertEqual(shown, first)
        self._apply_many(MANY_NOTES + 1, 1, self.deployment.leader())

    def _version(self, name: str) -> int:
        return int(self.deployment.operator(name).get("/v1/status").body["version"])

    def _has_digest(self, name: str, digest: str) -> bool:
        return bool(self.deployment.operator(name).get("/v1/status").body["digest"] == digest)
