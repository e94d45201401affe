"""Release notes with real processes: concurrent notes, resends and a killed leader."""

from typing import ClassVar

import gevent
from bench import deployment_files
from bench.operator_client import OperatorAnswer
from bench.plan import GroupPlan
from bench.plan_builder import build_plan

from tests.integration.common import DeploymentCase

GROUPS = (GroupPlan("comptoir", 2, 2),)


class TestNotes(DeploymentCase):
    ENTRIES: ClassVar[list[str]] = ["entry-1", "entry-2", "entry-3"]

    def setUp(self) -> None:
        self.deployment = self.deploy(build_plan(GROUPS, controls=3, entries=3))

    def test_concurrent_notes_with_equal_numbers(self) -> None:
        notes = [deployment_files.target_change_note(2, 100 + number) for number in range(3)]
        jobs = [
            gevent.spawn(self.deployment.apply, note, control.name)
            for note, control in zip(notes, self.deployment.plan.controls, strict=True)
        ]
        answers: list[OperatorAnswer] = [job.get() for job in jobs]
        accepted = [answer for answer in answers if answer.status == 200]
        conflicting = [answer for answer in answers if answer.status == 409]
        self.assertEqual((len(accepted), len(conflicting)), (1, 2), answers)
        for answer in conflicting:
            self.assertEqual(answer.body["code"], "note-number-taken")
            self.assertEqual(answer.body["winner_digest"], accepted[0].body["digest"])
        self.deployment.wait_versions(2, self.ENTRIES)

    def test_resend_gets_the_first_outcome_anywhere(self) -> None:
        first = deployment_files.target_change_note(2, 111)
        outcome = self.deployment.apply(first, "control-1")
        self.assertEqual(outcome.status, 200)
        self.deployment.apply(deployment_files.target_change_note(3, 222), "control-2")
        for control in self.deployment.plan.controls:
            self.assertEqual(self.deployment.apply(first, control.name), outcome)
        shown = self.deployment.operator("control-2").get("/v1/status").body
        self.assertEqual(shown["version"], 3)

    def test_killed_leader_and_resend_apply_once(self) -> None:
        leader = self.deployment.leader()
        other = next(c.name for c in self.deployment.plan.controls if c.name != leader)
        note = deployment_files.target_change_note(2, 111)
        request = gevent.spawn(self.deployment.apply, note, leader)
        gevent.sleep(0.005)
        self.deployment.processes[leader].kill()
        gevent.joinall([request])
        answer = self.deployment.apply_until_accepted(note, other)
        self.assertEqual(answer.body["version"], 2)
        again = self.deployment.apply_until_accepted(note, other)
        self.assertEqual(again, answer)
        self.deployment.wait_versions(2, self.ENTRIES)
