"""The unions of commands and results, and the codec of commands."""

import msgspec

from spindle_decisions.commands.apply_note import ApplyNote
from spindle_decisions.commands.claim_granted import ClaimGranted
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.claim_refused import ClaimRefused
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.commands.note_refused import NoteRefused
from spindle_decisions.commands.outcome_recorded import OutcomeRecorded
from spindle_decisions.commands.plan_replaced import PlanReplaced
from spindle_decisions.commands.read_plan import ReadPlan
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.commands.replace_plan import ReplacePlan

Command = ApplyNote | ClaimRun | RecordOutcome | ReplacePlan | ReadPlan
Result = (
    NoteApplied
    | NoteRefused
    | ClaimGranted
    | ClaimHeld
    | ClaimRefused
    | OutcomeRecorded
    | PlanReplaced
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command for the replicated log."""
    return _ENCODER.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command of the replicated log; raise `msgspec.DecodeError` if malformed."""
    return _DECODER.decode(data)
