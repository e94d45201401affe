"""Tests of the claim table."""

import unittest
import uuid

from nose2.tools import params

from spindle_decisions.claims.claim_limits import ClaimLimits
from spindle_decisions.claims.claim_table import create_claim_table
from spindle_decisions.commands.claim_granted import ClaimGranted
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.claim_refused import ClaimRefused
from tests.decisions.claims.common import HOUR_MS, START_MS, claim, outcome, request_id

ID = request_id()
SMALL = ClaimLimits(max_claims=2, max_body_bytes=10, max_bodies_bytes=25)


class TestClaims(unittest.TestCase):
    def setUp(self) -> None:
        self.table = create_claim_table()

    def test_first_claim_wins(self) -> None:
        self.assertEqual(self.table.claim(claim(ID, "a")), ClaimGranted(ID, "a"))
        self.assertEqual(self.table.claim(claim(ID, "a")), ClaimGranted(ID, "a"))
        self.assertEqual(self.table.claim(claim(ID.upper(), "b")).request_id, ID.upper())
        self.assertEqual(self.table.claim(claim(ID, "b")), ClaimHeld(ID, "e1", False))

    def test_first_record_decides(self) -> None:
        self.table.claim(claim(ID, "a"))
        self.assertFalse(self.table.record(outcome(ID, "b", body=b"foreign")).first)
        self.assertTrue(self.table.record(outcome(ID, "a", body=b"one")).first)
        self.assertFalse(self.table.record(outcome(ID, "a", body=b"two")).first)
        self.assertFalse(self.table.record(outcome(ID, "a", ran=False)).first)
        held = ClaimHeld(ID, "e1", True, 200, b"one")
        self.assertEqual(self.table.claim(claim(ID, "b")), held)
        self.assertEqual(self.table.claim(claim(ID, "a")), held)

    def test_release_lets_another_attempt_run_but_not_the_same(self) -> None:
        self.table.claim(claim(ID, "a"))
        self.assertTrue(self.table.record(outcome(ID, "a", ran=False)).first)
        self.assertEqual(self.table.claim(claim(ID, "a")), ClaimHeld(ID, "e1", False))
        self.assertEqual(self.table.claim(claim(ID, "b")), ClaimGranted(ID, "b"))
        self.assertFalse(self.table.record(outcome(ID, "a")).first)
        self.assertEqual(self.table.claim(claim(ID, "c")), ClaimHeld(ID, "e1", False))

    def test_release_that_arrives_before_its_claim(self) -> None:
        self.assertTrue(self.table.record(outcome(ID, "a", ran=False)).first)
        self.assertFalse(self.table.record(outcome(request_id(serial=1), "a")).first)
        self.assertIsInstance(self.table.claim(claim(ID, "a")), ClaimHeld)
        self.assertIsInstance(self.table.claim(claim(ID, "b", digest="any")), ClaimGranted)
        self.assertIsInstance(self.table.claim(claim(ID, "c", digest="other")), ClaimRefused)

    @params(
        (request_id(START_MS - 24 * HOUR_MS), "id-expired"),
        (request_id(START_MS - 24 * HOUR_MS + 1), None),
        (request_id(START_MS + HOUR_MS), None),
        (request_id(START_MS + HOUR_MS + 1), "bad-request"),
        (str(uuid.UUID(int=5)), "bad-request"),
        ("{" + ID[1:-1] + "}", "bad-request"),
        (ID.replace("-", ""), "bad-request"),
        ("", "bad-request"),
    )
    def test_ids(self, id_text: str, code: str | None) -> None:
        result = self.table.claim(claim(id_text))
        self.assertEqual(getattr(result, "code", None), code)

    @params(("digest", "x" * 129), ("attempt", ""), ("instance", "x" * 129))
    def test_fields_are_bounded(self, field: str, value: str) -> None:
        arguments = {"attempt": "a", field: value}
        self.assertEqual(self.table.claim(claim(ID, **arguments)).code, "bad-request")

    def test_same_id_with_another_body_is_refused(self) -> None:
        self.table.claim(claim(ID, digest="one"))
        self.assertEqual(self.table.claim(claim(ID, digest="two")).code, "bad-request")


class TestRetention(unittest.TestCase):
    def setUp(self) -> None:
        self.table = create_claim_table()
        self.table.claim(claim(ID))
        self.table.record(outcome(ID))

    def test_claim_is_dropped_when_its_id_has_expired(self) -> None:
        later_ms = START_MS + 24 * HOUR_MS
        self.table.claim(claim(request_id(later_ms), at_ms=later_ms))
        self.assertEqual(len(self.table), 1)
        self.assertEqual(self.table.claim(claim(ID, "b", later_ms)).code, "id-expired")
        self.assertEqual(self.table.claim(claim(ID, "b", START_MS)).code, "id-expired")

    @params((START_MS + 10_000 * HOUR_MS, START_MS), (START_MS, START_MS + HOUR_MS))
    def test_one_wrong_clock_drops_nothing(self, at_ms: int, created_at_ms: int) -> None:
        self.table.claim(claim(request_id(created_at_ms, 1), at_ms=at_ms))
        self.assertTrue(self.table.claim(claim(ID, "b")).recorded)
        fresh = request_id(START_MS + HOUR_MS, 2)
        self.assertIsInstance(self.table.claim(claim(fresh, at_ms=START_MS)), ClaimGranted)


class TestBounds(unittest.TestCase):
    def setUp(self) -> None:
        self.table = create_claim_table(SMALL)

    def test_full_table_refuses_and_keeps_its_claims(self) -> None:
        for serial in range(2):
            self.table.claim(claim(request_id(serial=serial)))
            self.table.record(outcome(request_id(serial=serial), body=b""))
        self.assertEqual(self.table.claim(claim(request_id(serial=2))).code, "overloaded")
        self.assertFalse(self.table.record(outcome(request_id(serial=3), ran=False)).first)
        self.assertTrue(self.table.claim(claim(request_id(serial=0), "b")).recorded)

    def test_open_claims_reserve_room_for_their_body(self) -> None:
        table = create_claim_table(ClaimLimits(9, max_body_bytes=10, max_bodies_bytes=25))
        for serial in range(2):
            table.claim(claim(request_id(serial=serial)))
        self.assertEqual(table.claim(claim(request_id(serial=2))).code, "overloaded")
        table.record(outcome(request_id(serial=0), body=b"12345"))
        self.assertIsInstance(table.claim(claim(request_id(serial=2))), ClaimGranted)
        table.restore(table.to_snapshot())
        self.assertEqual(table.bodies_bytes, 25)

    def test_too_large_body_leaves_the_outcome_unknown(self) -> None:
        self.table.claim(claim(ID))
        self.assertTrue(self.table.record(outcome(ID, body=b"x" * 11)).first)
        self.assertEqual(self.table.claim(claim(ID, "b")), ClaimHeld(ID, "e1", False))
        self.assertFalse(self.table.record(outcome(ID, body=b"x")).first)
