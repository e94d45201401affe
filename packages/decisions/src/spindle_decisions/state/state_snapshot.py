"""The replicated state as stored in a snapshot."""

import msgspec

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.claims.claim_snapshot import ClaimSnapshot
from spindle_decisions.exceptions import StorageDamagedError
from spindle_decisions.state.const import SNAPSHOT_FORMAT
from spindle_decisions.state.plan_document import EMPTY_PLAN_DOCUMENT, PlanDocument


class StateSnapshot(msgspec.Struct, frozen=True):
    """The state after entry `applied_index`, from which a replica continues."""

    format: int
    applied_index: int
    catalog: Catalog
    note_rows: tuple[bytes, ...]
    note_texts: tuple[str, ...]
    claims: ClaimSnapshot
    plan: PlanDocument = EMPTY_PLAN_DOCUMENT


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StateSnapshot)


def encode_state_snapshot(snapshot: StateSnapshot) -> bytes:
    """Encode a snapshot; equal states have equal encodings."""
    return _ENCODER.encode(snapshot)


def decode_state_snapshot(data: bytes) -> StateSnapshot:
    """Decode a snapshot; raise `StorageDamagedError` if malformed or of another format."""
    try:
        snapshot = _DECODER.decode(data)
    except msgspec.DecodeError as err:
        raise StorageDamagedError(f"snapshot of the replicated state is malformed: {err}") from err
    if snapshot.format != SNAPSHOT_FORMAT:
        raise StorageDamagedError(
            f"snapshot of the replicated state has format {snapshot.format}, "
            f"this release reads {SNAPSHOT_FORMAT}"
        )
    return snapshot
