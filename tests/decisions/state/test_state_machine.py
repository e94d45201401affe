"""A stateful test that compares the replicated state with a simple model."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spindle_decisions.claims.claim_limits import ClaimLimits
from spindle_decisions.commands.apply_note import ApplyNote
from spindle_decisions.commands.claim_granted import ClaimGranted
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.command import Command, Result
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.state.replicated_state import ReplicatedState, create_replicated_state
from tests.decisions.claims.common import HOUR_MS, START_MS, claim, outcome, request_id
from tests.decisions.state.common import apply_command

LIMITS = ClaimLimits(max_claims=6, max_body_bytes=16, max_bodies_bytes=96)
SERIALS = st.integers(0, 2)
ATTEMPTS = st.sampled_from(["a", "b", "c"])
BODIES = [f"[{action} data-center d{n}]\n" for action in ("added", "withdrawn") for n in range(2)]


class NoteOracle:
    """A model of note handling: the accepted notes in order and the resulting data centres."""

    def __init__(self) -> None:
        self.accepted: list[tuple[int, str]] = []
        self.results: list[NoteApplied] = []
        self.names: set[str] = set()

    def expect(self, number: int, serial: int, body: str) -> str:
        """Return the expected result of a note: `resend`, `applied` or the code of a refusal."""
        if 1 <= number <= len(self.accepted) and self.accepted[number - 1] == (serial, body):
            return "resend"
        if any(serial == used for used, _ in self.accepted):
            return "note-id-reused"
        if number <= len(self.accepted):
            return "note-number-taken"
        if number > len(self.accepted) + 1:
            return "note-number-not-next"
        name = body.split()[-1].rstrip("]")
        if (name in self.names) == body.startswith("[added"):
            return "note-invalid"
        self.names ^= {name}
        self.accepted.append((serial, body))
        return "applied"


class StateMachine(RuleBasedStateMachine):
    """Applies commands in any order, with clock jumps, duplicates and restores in between."""

    def __init__(self) -> None:
        super().__init__()
        self.state = create_replicated_state(LIMITS)
        self.log: list[Command] = []
        self.clock_ms = START_MS
        self.notes = NoteOracle()
        self.ids: dict[int, str] = {}
        self.dispatched: set[tuple[str, str]] = set()
        self.runs: dict[str, int] = {}
        self.outcomes: dict[str, bytes] = {}
        self.decided: set[str] = set()
        self.holders: dict[str, str] = {}
        self.records: list[RecordOutcome] = []

    def commit(self, command: Command) -> Result:
        self.log.append(command)
        return self.state.apply(len(self.log), command)

    @rule(ahead=st.integers(-1, 1), serial=st.integers(0, 5), body=st.sampled_from(BODIES))
    def note(self, ahead: int, serial: int, body: str) -> None:
        number = max(1, len(self.notes.accepted) + 1 + ahead)
        expected = self.notes.expect(number, serial, body)
        result = self.commit(apply_command(number, serial, body, self.clock_ms))
        if expected == "applied":
            assert isinstance(result, NoteApplied), result
            self.notes.results.append(result)
        elif expected == "resend":
            assert result == self.notes.results[number - 1], result
        else:
            assert result.code == expected, (result, expected)

    @precondition(lambda self: self.notes.accepted)
    @rule(pick=st.integers(0, 100))
    def resend_note(self, pick: int) -> None:
        position = pick % len(self.notes.accepted)
        command = apply_command(position + 1, *self.notes.accepted[position], self.clock_ms)
        assert self.commit(command) == self.notes.results[position]

    @rule(serial=SERIALS)
    def caller_creates_an_id(self, serial: int) -> None:
        self.ids[serial] = request_id(self.clock_ms, len(self.log))

    @rule(serial=SERIALS, attempt=ATTEMPTS, ran=st.booleans(), reported=st.booleans())
    def claim(self, serial: int, attempt: str, ran: bool, reported: bool) -> None:
        id_text = self.ids.setdefault(serial, request_id(self.clock_ms, len(self.log)))
        result = self.commit(claim(id_text, attempt, self.clock_ms))
        if isinstance(result, ClaimHeld) and result.recorded:
            assert result.body == self.outcomes[id_text], result
        if id_text in self.decided:
            assert not isinstance(result, ClaimGranted), result
        if isinstance(result, ClaimGranted) and (id_text, attempt) not in self.dispatched:
            self.dispatched.add((id_text, attempt))
            self.holders[id_text] = attempt
            self.dispatch(id_text, attempt, ran, reported)

    def dispatch(self, id_text: str, attempt: str, ran: bool, reported: bool) -> None:
        if ran:
            self.runs[id_text] = self.runs.get(id_text, 0) + 1
        if reported:
            body = f"{attempt}{len(self.log)}".encode()
            self.records.append(outcome(id_text, attempt, ran, body, self.clock_ms))

    @precondition(lambda self: self.records)
    @rule(pick=st.integers(0, 100))
    def record(self, pick: int) -> None:
        command = self.records[pick % len(self.records)]
        result = self.commit(command)
        if not result.first:
            return
        assert command.request_id not in self.decided, command
        assert self.holders[command.request_id] == command.attempt, command
        if command.ran:
            self.decided.add(command.request_id)
            self.outcomes[command.request_id] = command.body

    @rule(serial=SERIALS, attempt=ATTEMPTS)
    def record_of_another_attempt(self, serial: int, attempt: str) -> None:
        id_text = self.ids.get(serial, "")
        if self.holders.get(id_text) != attempt:
            assert not self.commit(outcome(id_text, attempt, at_ms=self.clock_ms)).first

    @rule(hours=st.sampled_from([-2, 0, 1, 11, 30]))
    def clock_jumps(self, hours: int) -> None:
        self.clock_ms += hours * HOUR_MS

    @rule()
    def restore_from_snapshot(self) -> None:
        restored = create_replicated_state(LIMITS)
        restored.restore(self.state.encode_snapshot())
        assert restored.digest() == self.state.digest()
        self.state = restored

    @invariant()
    def each_request_runs_at_most_once(self) -> None:
        assert all(count == 1 for count in self.runs.values()), self.runs

    @invariant()
    def catalog_is_that_of_the_accepted_notes(self) -> None:
        assert {item.name for item in self.state.catalog.data_centers} == self.notes.names
        assert self.state.catalog.version == len(self.notes.accepted)
        assert len(self.state.claims) <= LIMITS.max_claims
        assert self.state.claims.bodies_bytes <= LIMITS.max_bodies_bytes

    def teardown(self) -> None:
        replayed = replay(self.log)
        assert replayed.digest() == self.state.digest()
        assert replayed.notes() == self.state.notes()
        texts = self.state.note_texts_between(0, self.state.catalog.version)
        assert texts is not None
        rebuilt = create_replicated_state(LIMITS)
        for index, text in enumerate(texts, start=1):
            rebuilt.apply(index, ApplyNote(text, 0))
        assert rebuilt.catalog.digest() == self.state.catalog.digest()


def replay(log: list[Command]) -> ReplicatedState:
    """Return a new state to which all commands of the log were applied."""
    state = create_replicated_state(LIMITS)
    for index, command in enumerate(log, start=1):
        state.apply(index, command)
    return state


StateMachine.TestCase.settings = settings(
    derandomize=True, database=None, deadline=None, max_examples=150, stateful_step_count=40
)
TestStateMachine = StateMachine.TestCase
