"""Tests of non-idempotent requests from caller to upstreams."""

import unittest
from typing import Any

import gevent
from nose2.tools import params

from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.exceptions import NotRunError, OutcomeUnknownError
from spindle_devkit.upstream.behavior_change import BehaviorChange
from tests.daemon.serving.common import RUN_GROUP, ServingTestBed, serving_test_bed, wait_until

REQUEST_ID = "01927d4e-5c1a-7000-8000-000000000001"


def change_behavior(bed: ServingTestBed, letter: str = "", **changes: Any) -> None:
    """Change the behaviour of the stand-ins of `RUN_GROUP`, or only of the replica `letter`."""
    for name, served in bed.served.items():
        if name.startswith(f"{RUN_GROUP}-{letter}"):
            served.apply(BehaviorChange(**changes))


def run_count(bed: ServingTestBed) -> int:
    """Return how many requests the stand-ins of `RUN_GROUP` executed."""
    return sum(
        served.upstream.counters.executed
        for name, served in bed.served.items()
        if name.startswith(RUN_GROUP)
    )


class TestRun(unittest.TestCase):
    def test_resend_gets_the_recorded_outcome(self) -> None:
        with serving_test_bed() as bed:
            first = bed.entry.run("set-12", REQUEST_ID)
            wait_until(self, lambda: REQUEST_ID in bed.entry.control.outcomes)
            second = bed.entry.run("set-12", REQUEST_ID)
            self.assertEqual((200, False), (first.status, first.body["replayed"]))
            self.assertEqual((200, True), (second.status, second.body["replayed"]))
            self.assertEqual(first.body["outcome"], second.body["outcome"])
            self.assertEqual(1, run_count(bed))
            self.assertEqual({REQUEST_ID}, {item.request_id for item in bed.executions()})

    def test_resend_while_it_runs(self) -> None:
        with serving_test_bed(median_ms=200.0) as bed:
            first = gevent.spawn(bed.entry.run, "set-12", REQUEST_ID)
            wait_until(self, lambda: run_count(bed) == 1)
            self.assertEqual("outcome-unknown", bed.entry.run("set-12", REQUEST_ID).body["code"])
            self.assertEqual(200, first.get().status)
            self.assertEqual(1, run_count(bed))

    @params(
        ("truncated", {"truncate_next": 1}),
        ("of another request", {"wrong_id_next": 1}),
    )
    def test_broken_answer_is_unknown_and_never_sent_again(
        self, _name: str, fault: dict[str, Any]
    ) -> None:
        with serving_test_bed() as bed:
            change_behavior(bed, **fault)
            answers = [bed.entry.run("set-12", REQUEST_ID) for _ in range(3)]
            self.assertEqual({"outcome-unknown"}, {answer.body["code"] for answer in answers})
            self.assertEqual({502}, {answer.status for answer in answers})
            self.assertEqual(1, run_count(bed))

    def test_shed_runs_at_the_other_replica(self) -> None:
        with serving_test_bed() as bed:
            change_behavior(bed, "a", shed_ratio=1.0)
            for number in range(6):
                self.assertEqual(200, bed.entry.run("set-12", f"{REQUEST_ID[:-1]}{number}").status)
            self.assertEqual(6, run_count(bed))

    def test_not_run_releases_the_claim(self) -> None:
        with serving_test_bed() as bed:
            change_behavior(bed, shed_ratio=1.0)
            refused = bed.entry.run("set-12", REQUEST_ID)
            self.assertEqual((503, "not-run"), (refused.status, refused.body["code"]))
            self.assertEqual(0, run_count(bed))
            wait_until(self, lambda: REQUEST_ID not in bed.entry.control.claims)
            change_behavior(bed, shed_ratio=0.0)
            self.assertEqual(200, bed.entry.run("set-12", REQUEST_ID).status)

    def test_late_outcome_is_recorded_for_a_resend(self) -> None:
        with serving_test_bed(median_ms=300.0) as bed:
            first = bed.entry.run("set-12", REQUEST_ID, Deadline_Ms="100")
            self.assertEqual("outcome-unknown", first.body["code"])
            wait_until(self, lambda: REQUEST_ID in bed.entry.control.outcomes)
            self.assertTrue(bed.entry.run("set-12", REQUEST_ID).body["replayed"])
            self.assertEqual(1, run_count(bed))


class TestClaims(unittest.TestCase):
    def test_no_majority_is_not_run(self) -> None:
        def refuse(_command: Any) -> None:
            raise NotRunError("no quorum")

        with serving_test_bed() as bed:
            bed.entry.control.before = refuse
            first = bed.entry.run("set-12", REQUEST_ID, First_Sending="yes")
            self.assertEqual("not-run", first.body["code"])
            self.assertEqual(0, run_count(bed))

    def test_no_majority_is_unknown_without_first_sending(self) -> None:
        """An earlier sending may have run at another entry instance."""

        def refuse(_command: Any) -> None:
            raise NotRunError("no quorum")

        with serving_test_bed() as bed:
            bed.entry.control.before = refuse
            for headers in ({}, {"First_Sending": "no"}):
                answer = bed.entry.run("set-12", REQUEST_ID, **headers)
                self.assertEqual("outcome-unknown", answer.body["code"])
            self.assertEqual(
                "bad-request", bed.entry.run("s", REQUEST_ID, First_Sending="1").body["code"]
            )

    def test_no_majority_after_a_dispatch_is_unknown(self) -> None:
        """The outcome is unknown for an id that this entry has already dispatched."""

        def refuse(_command: Any) -> None:
            raise NotRunError("no quorum")

        with serving_test_bed() as bed:
            bed.entry.run("set-12", REQUEST_ID)
            bed.entry.control.before = refuse
            again = bed.entry.run("set-12", REQUEST_ID, First_Sending="yes")
            self.assertEqual("outcome-unknown", again.body["code"])
            self.assertEqual(1, run_count(bed))

    def test_unknown_commit_never_dispatches_and_is_released(self) -> None:
        """The claim is committed, but the reply to the entry is lost."""
        lost_replies = []

        def lose_claims(command: Any) -> None:
            if isinstance(command, ClaimRun) and len(lost_replies) < 3:
                lost_replies.append(command)
                raise OutcomeUnknownError("no answer in time")

        with serving_test_bed() as bed:
            bed.entry.control.after = lose_claims
            self.assertEqual("outcome-unknown", bed.entry.run("set-12", REQUEST_ID).body["code"])
            self.assertEqual(0, run_count(bed))
            self.assertIn(REQUEST_ID, bed.entry.control.claims)
            wait_until(self, lambda: REQUEST_ID not in bed.entry.control.claims)
            self.assertEqual(200, bed.entry.run("set-12", REQUEST_ID).status)
            self.assertEqual(1, run_count(bed))

    def test_recording_an_outcome_is_retried(self) -> None:
        failures = []

        def fail_records(command: Any) -> None:
            if isinstance(command, RecordOutcome) and len(failures) < 2:
                failures.append(command)
                raise NotRunError("no quorum")

        with serving_test_bed() as bed:
            bed.entry.control.before = fail_records
            self.assertEqual(200, bed.entry.run("set-12", REQUEST_ID).status)
            wait_until(self, lambda: REQUEST_ID in bed.entry.control.outcomes)

    def test_shutdown_waits_for_the_record(self) -> None:
        with serving_test_bed() as bed:
            bed.entry.control.before = lambda command: gevent.sleep(0.5)
            answer = bed.entry.run("set-12", REQUEST_ID)
            self.assertNotIn(REQUEST_ID, bed.entry.control.outcomes)
            bed.entry.spindle.stop()
            self.assertEqual(200, answer.status)
            self.assertIn(REQUEST_ID, bed.entry.control.outcomes)
            bed.entry.spindle.stop_hooks.clear()

    @params("", "not-a-uuid", "7f0c1f0e-7a46-4a3a-9d5e-0123456789ab", REQUEST_ID.replace("-", ""))
    def test_bad_id(self, request_id: str) -> None:
        with serving_test_bed() as bed:
            answer = bed.entry.run("set-12", request_id)
            self.assertEqual((400, "bad-request"), (answer.status, answer.body["code"]))
            self.assertEqual({}, bed.entry.control.claims)
