"""The state machine to which every control instance applies the log."""

import xxhash

from spindle_decisions.catalog.catalog import EMPTY_CATALOG, Catalog
from spindle_decisions.claims.claim_limits import ClaimLimits
from spindle_decisions.claims.claim_table import ClaimTable, create_claim_table
from spindle_decisions.commands.apply_note import ApplyNote
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.command import Command, Result
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.commands.note_refused import NoteRefused
from spindle_decisions.commands.plan_replaced import PlanReplaced
from spindle_decisions.commands.read_plan import ReadPlan
from spindle_decisions.commands.replace_plan import ReplacePlan
from spindle_decisions.exceptions import ControlError, NoteError
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.note import Note
from spindle_decisions.notes.parser import parse_note
from spindle_decisions.state.const import (
    CODE_ID_REUSED,
    CODE_NUMBER_NOT_NEXT,
    CODE_NUMBER_TAKEN,
    SNAPSHOT_FORMAT,
)
from spindle_decisions.state.note_history import NoteHistory
from spindle_decisions.state.note_record import NoteRecord
from spindle_decisions.state.note_texts import NoteTexts
from spindle_decisions.state.plan_document import EMPTY_PLAN_DOCUMENT, PlanDocument
from spindle_decisions.state.state_snapshot import (
    StateSnapshot,
    decode_state_snapshot,
    encode_state_snapshot,
)
from spindle_decisions.state.validated_note import ValidatedNote


class ReplicatedState:
    """The catalog, the records of the applied notes, the claims and the routing plan.

    It is deterministic: replicas that apply the same entries have byte-identical
    state, even if one of them started from a snapshot. The only source of time is
    the commands.
    """

    def __init__(self, claims: ClaimTable) -> None:
        self.applied_index = 0
        self.catalog: Catalog = EMPTY_CATALOG
        self.claims = claims
        self.plan: PlanDocument = EMPTY_PLAN_DOCUMENT
        self._history = NoteHistory([])
        self._texts = NoteTexts(0)

    def apply(self, entry_index: int, command: Command) -> Result:
        """Apply the command of a committed entry and return its result.

        Each entry is applied once and in order; entries without a command leave
        gaps. Raises `ControlError` for an index that is not higher than the last one.
        """
        if entry_index <= self.applied_index:
            raise ControlError(
                f"log entry {entry_index} cannot be applied after entry {self.applied_index}"
            )
        self.applied_index = entry_index
        if isinstance(command, ApplyNote):
            return self._apply_note(entry_index, command)
        if isinstance(command, ReplacePlan):
            return self._replace_plan(command)
        if isinstance(command, ReadPlan):
            return PlanReplaced(self.plan.version, changed=False)
        if isinstance(command, ClaimRun):
            return self.claims.claim(command)
        return self.claims.record(command)

    def notes(self, last: int | None = None) -> tuple[NoteRecord, ...]:
        """Return the records of the applied notes in order, or only the `last` newest ones."""
        newest = self._history.last_number
        first = 1 if last is None else max(1, newest - last + 1)
        records = (self._history.get(number) for number in range(first, newest + 1))
        return tuple(record for record in records if record is not None)

    def note_texts_between(self, from_version: int, to_version: int) -> tuple[str, ...] | None:
        """Return the texts of the notes between two catalog versions.

        `None` means that not all of them are kept, or that a version is not known;
        the whole catalog has to be sent then.
        """
        return self._texts.between(from_version, to_version)

    def encode_snapshot(self) -> bytes:
        """Encode the whole state; equal states have equal encodings."""
        snapshot = StateSnapshot(
            format=SNAPSHOT_FORMAT,
            applied_index=self.applied_index,
            catalog=self.catalog,
            note_rows=tuple(self._history.rows),
            note_texts=self._texts.all(),
            claims=self.claims.to_snapshot(),
            plan=self.plan,
        )
        return encode_state_snapshot(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Raises `StorageDamagedError` and leaves the state unchanged if the snapshot
        cannot be decoded.
        """
        snapshot = decode_state_snapshot(data)
        self.applied_index = snapshot.applied_index
        self.catalog = snapshot.catalog
        self.claims.restore(snapshot.claims)
        self.plan = snapshot.plan
        self._history = NoteHistory(list(snapshot.note_rows))
        self._texts = NoteTexts(snapshot.catalog.version, snapshot.note_texts)

    def digest(self) -> str:
        """Return the digest of the whole state as 32 hexadecimal digits."""
        return xxhash.xxh3_128_hexdigest(self.encode_snapshot())

    def validate_note(self, text: str) -> NoteApplied | NoteRefused:
        """Return the result that applying the note now would have, without applying it."""
        validated = self._validate(text)
        if isinstance(validated, ValidatedNote):
            return _create_applied_result(self._create_record(validated, self.applied_index, 0))
        return validated

    def _replace_plan(self, command: ReplacePlan) -> PlanReplaced:
        changed = command.version > self.plan.version
        if changed:
            self.plan = PlanDocument(command.version, command.document)
        return PlanReplaced(self.plan.version, changed)

    def _apply_note(self, entry_index: int, command: ApplyNote) -> NoteApplied | NoteRefused:
        validated = self._validate(command.text)
        if not isinstance(validated, ValidatedNote):
            return validated
        record = self._create_record(validated, entry_index, command.proposed_at_ms)
        self.catalog = validated.catalog
        self._history.append(record)
        self._texts.append(validated.catalog.version, command.text)
        return _create_applied_result(record)

    def _validate(self, text: str) -> ValidatedNote | NoteApplied | NoteRefused:
        try:
            note = parse_note(text)
        except NoteError as err:
            return NoteRefused(err.code, str(err))
        earlier = self._history.get(note.number)
        if earlier is not None and earlier.note_id == note.note_id:
            return _create_resend_result(earlier, note)
        refusal = self._check_identity(note, earlier)
        if refusal is not None:
            return refusal
        try:
            return ValidatedNote(note, apply_note(self.catalog, note))
        except NoteError as err:
            return NoteRefused(err.code, str(err))

    def _check_identity(self, note: Note, earlier: NoteRecord | None) -> NoteRefused | None:
        same_id = self._history.find_id(note.note_id)
        if same_id is not None:
            return _create_id_reused_result(same_id)
        if earlier is not None:
            return NoteRefused(
                CODE_NUMBER_TAKEN,
                f"[note] number = '{note.number}': is the number of the note of {earlier.author} "
                f"with digest {earlier.digest}, allowed is {self._history.last_number + 1}",
                earlier.digest,
            )
        expected = self._history.last_number + 1
        if note.number != expected:
            return NoteRefused(
                CODE_NUMBER_NOT_NEXT, f"[note] number = '{note.number}': allowed is {expected}"
            )
        return None

    def _create_record(
        self, validated: ValidatedNote, entry_index: int, proposed_at_ms: int
    ) -> NoteRecord:
        newest = self._history.get(self._history.last_number)
        applied_at_ms = proposed_at_ms
        if newest is not None:
            applied_at_ms = max(applied_at_ms, newest.applied_at_ms)
        note, catalog = validated.note, validated.catalog
        return NoteRecord(
            number=note.number,
            note_id=note.note_id,
            author=note.author,
            digest=note.digest,
            version=catalog.version,
            catalog_digest=catalog.digest(),
            applied_at_ms=applied_at_ms,
            entry_index=entry_index,
        )


def create_replicated_state(limits: ClaimLimits | None = None) -> ReplicatedState:
    """Return the initial state; `limits` must be equal on all replicas."""
    return ReplicatedState(create_claim_table(limits))


def _create_resend_result(record: NoteRecord, note: Note) -> NoteApplied | NoteRefused:
    if record.digest != note.digest:
        return _create_id_reused_result(record)
    return _create_applied_result(record)


def _create_applied_result(record: NoteRecord) -> NoteApplied:
    return NoteApplied(
        record.number, record.note_id, record.digest, record.version, record.catalog_digest
    )


def _create_id_reused_result(record: NoteRecord) -> NoteRefused:
    return NoteRefused(
        CODE_ID_REUSED,
        f"[note] id = '{record.note_id}': is the id of note {record.number} with digest "
        f"{record.digest}, allowed is an id that no other note has",
        record.digest,
    )
