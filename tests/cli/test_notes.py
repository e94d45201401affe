"""Tests of the commands that change the configuration."""

import configparser
import json
import unittest

from nose2.tools import params

from spindle_cli.drain_note import drain_note
from spindle_decisions.operator.note_details import NoteDetails
from tests.cli.common import CliTestCase, DroppedConnection, Refusal

APPLIED = {
    "type": "note-applied",
    "number": 1,
    "note_id": "n",
    "digest": "d1",
    "version": 7,
    "catalog_digest": "c",
}
NOTES = "POST /v1/notes"
UNREACHABLE = "127.0.0.1:1"


def note_details(number: int) -> NoteDetails:
    return NoteDetails(number, f"id-{number}", "yann", "d", number, "c", 0, number)


def error_handler(error: Exception) -> object:
    def handler(_body: bytes, _query: str) -> object:
        raise error

    return handler


class TestApply(CliTestCase):
    def test_a_lost_answer_is_retried_with_the_same_bytes(self) -> None:
        self.first.on(NOTES, error_handler(DroppedConnection()))
        self.second.on(NOTES, lambda _body, _query: APPLIED)
        result = self.run_cli("apply", self.note())
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("version 7", result.output)
        self.assertEqual(self.first.requests[0], self.second.requests[0])

    @params(
        ("refused", Refusal(422, "note-invalid"), 1),
        ("number taken", Refusal(409, "note-number-taken", "d9"), 1),
        ("no quorum", Refusal(503, "no-quorum"), 3),
        ("not run", Refusal(503, "not-run"), 3),
        ("not leader", Refusal(421, "not-leader"), 3),
        ("outcome unknown", Refusal(502, "outcome-unknown"), 4),
        ("server failed", Refusal(500, "internal"), 4),
        ("answer lost", DroppedConnection(), 4),
    )
    def test_exit_codes(self, _name: str, error: Exception, expected: int) -> None:
        for control in (self.first, self.second):
            control.on(NOTES, error_handler(error))
        result = self.run_cli("apply", "--wait", "1", self.note())
        self.assertEqual(result.exit_code, expected, result.output)

    def test_a_refusal_after_a_lost_answer_stays_unknown(self) -> None:
        self.first.on(NOTES, error_handler(DroppedConnection()))
        self.second.on(NOTES, error_handler(Refusal(503, "no-quorum")))
        self.assertEqual(self.run_cli("apply", "--wait", "1", self.note()).exit_code, 4)

    def test_a_number_conflict_names_the_winning_digest(self) -> None:
        self.first.on(NOTES, error_handler(Refusal(409, "note-number-taken", "d9")))
        result = self.run_cli("--json", "apply", self.note())
        self.assertEqual(json.loads(result.stderr)["winner_digest"], "d9")
        self.assertEqual(self.second.requests, [])

    def test_no_control_reachable(self) -> None:
        result = self.run_cli("apply", "--wait", "1", self.note(), controls=(UNREACHABLE,))
        self.assertEqual(result.exit_code, 3, result.output)

    def test_a_wrong_key_is_refused(self) -> None:
        self.key_file.write_bytes(b"another key")
        self.first.on(NOTES, lambda _body, _query: APPLIED)
        result = self.run_cli("apply", self.note())
        self.assertEqual((result.exit_code, "auth-failed" in result.output), (1, True))

    @params(
        (("apply", "/no/such/file"), None),
        (("apply",), None),
        (("status",), ("localhost:1",)),
        (("status",), ("127.0.0.1:99999",)),
        (("timeline", "--since", "yesterday"), None),
        (("page", "--day", "2026-13-01"), None),
        (("page", "--day", "2999-01-01"), None),
        (("repair", "--force-membership"), None),
        (("--config", "/no/such/file", "status"), None),
    )
    def test_bad_input(self, arguments: tuple[str, ...], controls: tuple[str, ...] | None) -> None:
        self.assertEqual(self.run_cli(*arguments, controls=controls).exit_code, 2)


class TestDrain(CliTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.accepted = 4
        self.first.on(
            "GET /v1/notes",
            lambda _body, _query: [note_details(n + 1) for n in range(self.accepted)],
        )

    def numbers(self) -> list[int]:
        found = []
        for endpoint, body in self.first.requests:
            if endpoint == NOTES:
                parser = configparser.ConfigParser()
                parser.read_string(body.decode())
                found.append(int(parser["note"]["number"]))
        return found

    @params("note-number-taken", "note-number-not-next")
    def test_a_lost_race_is_retried_with_the_next_number(self, code: str) -> None:
        def handler(_body: bytes, _query: str) -> object:
            if len(self.numbers()) == 1:
                self.accepted += 1
                raise Refusal(409, code)
            return APPLIED

        self.first.on(NOTES, handler)
        result = self.run_cli("drain", "u-1")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(self.numbers(), [5, 6])

    def test_an_unknown_outcome_is_not_retried_under_another_number(self) -> None:
        self.first.on(NOTES, error_handler(Refusal(502, "outcome-unknown")))
        self.second.on(NOTES, error_handler(Refusal(502, "outcome-unknown")))
        self.assertEqual(self.run_cli("drain", "--wait", "1", "u-1").exit_code, 4)
        self.assertEqual(set(self.numbers()), {5})


class TestDrainNote(unittest.TestCase):
    @params((True, "yes"), (False, "no"))
    def test_the_note_states_one_change(self, draining: bool, word: str) -> None:
        parser = configparser.ConfigParser()
        parser.read_string(drain_note(3, "id", "me", "u-1", draining).decode())
        self.assertEqual(parser.sections(), ["note", "changed upstream u-1"])
        self.assertEqual(parser["changed upstream u-1"]["draining"], word)
