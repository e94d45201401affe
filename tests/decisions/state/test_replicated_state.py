"""Tests of the replicated state."""

import unittest

from nose2.tools import params

from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.exceptions import ControlError, StorageDamagedError
from spindle_decisions.state.const import MAX_NOTE_TEXTS
from spindle_decisions.state.replicated_state import ReplicatedState, create_replicated_state
from tests.decisions.claims.common import START_MS, claim, outcome, request_id
from tests.decisions.state.common import add_data_center, apply_command


def _state_with_notes(count: int) -> ReplicatedState:
    state = create_replicated_state()
    for number in range(1, count + 1):
        state.apply(number, apply_command(number))
    return state


class TestNotes(unittest.TestCase):
    @params(
        (apply_command(2, 9), "note-number-taken"),
        (apply_command(5), "note-number-not-next"),
        (apply_command(4, 2), "note-id-reused"),
        (apply_command(2, 2, add_data_center("other")), "note-id-reused"),
        (apply_command(4, None, add_data_center("dc-1")), "note-invalid"),
        (apply_command(4, None, "[added moon x]\n"), "note-invalid"),
    )
    def test_refused_note_leaves_the_catalog_unchanged(self, command: object, code: str) -> None:
        state = _state_with_notes(3)
        before = state.catalog
        checked = state.validate_note(command.text)
        self.assertEqual(state.apply(4, command), checked)
        self.assertEqual(checked.code, code)
        self.assertEqual(state.catalog, before)

    def test_validate_note_returns_the_result_and_changes_nothing(self) -> None:
        state = _state_with_notes(2)
        digest = state.digest()
        for command in (apply_command(3), apply_command(1)):
            checked = state.validate_note(command.text)
            self.assertEqual(state.digest(), digest)
            restored = create_replicated_state()
            restored.restore(state.encode_snapshot())
            self.assertEqual(restored.apply(3, command), checked)

    def test_refusal_contains_the_digest_of_the_winner(self) -> None:
        state = create_replicated_state()
        winner = state.apply(1, apply_command(1, 1))
        loser = state.apply(2, apply_command(1, 2))
        self.assertEqual(loser.winner_digest, winner.digest)
        self.assertIn(winner.digest, loser.text)

    def test_resend_gets_the_first_result_after_other_notes_and_a_restore(self) -> None:
        state = create_replicated_state()
        first = state.apply(1, apply_command(1))
        withdrawal = "[withdrawn data-center dc-1]\n"
        state.apply(2, apply_command(2, body=withdrawal))
        restored = create_replicated_state()
        restored.restore(state.encode_snapshot())
        for holder in (state, restored):
            self.assertEqual(holder.apply(3, apply_command(1, at_ms=5)), first)
            self.assertEqual(holder.catalog.data_centers, ())

    def test_corrected_note_may_follow_a_refused_one(self) -> None:
        state = _state_with_notes(1)
        self.assertEqual(
            state.apply(2, apply_command(2, body=add_data_center("dc-1"))).code, "note-invalid"
        )
        self.assertIsInstance(state.apply(3, apply_command(2)), NoteApplied)

    def test_record_times_are_monotonic(self) -> None:
        state = create_replicated_state()
        state.apply(1, apply_command(1, at_ms=START_MS))
        state.apply(4, apply_command(2, at_ms=START_MS - 5))
        times = [(item.applied_at_ms, item.entry_index) for item in state.notes()]
        self.assertEqual(times, [(START_MS, 1), (START_MS, 4)])
        self.assertEqual([item.number for item in state.notes(last=1)], [2])

    def test_entries_are_applied_once(self) -> None:
        state = _state_with_notes(1)
        with self.assertRaises(ControlError):
            state.apply(1, apply_command(2))


class TestNoteTexts(unittest.TestCase):
    @params((0, 3, [1, 2, 3]), (1, 2, [2]), (3, 3, []), (2, 1, None), (0, 4, None), (4, 4, None))
    def test_between(self, low: int, high: int, numbers: list[int] | None) -> None:
        state = _state_with_notes(3)
        expected = None
        if numbers is not None:
            expected = tuple(apply_command(number).text for number in numbers)
        self.assertEqual(state.note_texts_between(low, high), expected)

    def test_old_texts_are_dropped(self) -> None:
        state = create_replicated_state()
        for number in range(1, MAX_NOTE_TEXTS + 2):
            action = "added" if number % 2 else "withdrawn"
            state.apply(number, apply_command(number, body=f"[{action} data-center d]\n"))
        self.assertIsNone(state.note_texts_between(0, 1))
        self.assertEqual(len(state.note_texts_between(1, state.catalog.version)), MAX_NOTE_TEXTS)


class TestSnapshot(unittest.TestCase):
    @params((b"",), (b"\xc1",), (b"\x81\xa6format\x01",))
    def test_unreadable_snapshot_leaves_the_state_unchanged(self, data: bytes) -> None:
        state = _state_with_notes(1)
        digest = state.digest()
        with self.assertRaises(StorageDamagedError):
            state.restore(data)
        self.assertEqual(state.digest(), digest)

    def test_other_format_is_refused(self) -> None:
        data = (
            create_replicated_state()
            .encode_snapshot()
            .replace(b"\xa6format\x01", b"\xa6format\x02")
        )
        with self.assertRaisesRegex(StorageDamagedError, "format 2, this release reads 1"):
            create_replicated_state().restore(data)

    def test_restore_includes_the_claims(self) -> None:
        state = create_replicated_state()
        state.apply(1, claim(request_id()))
        state.apply(2, outcome(request_id(), body=b"seat 4"))
        restored = create_replicated_state()
        restored.restore(state.encode_snapshot())
        self.assertEqual(restored.apply(3, claim(request_id(), "b")).body, b"seat 4")
