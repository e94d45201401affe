"""The replicated state as it is stored in a snapshot."""

import msgspec

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.claims.claim_snapshot import ClaimSnapshot
from spindle_decisions.exceptions import StorageDamagedError
from spindle_decisions.state.const import SNAPSHOT_FORMAT
from spindle_decisions.state.plan_document import NO_PLAN, PlanDocument


class StateImage(msgspec.Struct, frozen=True):
    """Everything that a replica needs to go on after the entry `applied_index`."""

    format: int
    applied_index: int
    catalog: Catalog
    note_rows: tuple[bytes, ...]
    note_texts: tuple[str, ...]
    claims: ClaimSnapshot
    plan: PlanDocument = NO_PLAN


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StateImage)


def encode_state_image(image: StateImage) -> bytes:
    """Encode an image; equal states give equal bytes."""
    return _ENCODER.encode(image)


def decode_state_image(data: bytes) -> StateImage:
    """Decode an image; raise `StorageDamagedError` if malformed or of another format."""
    try:
        image = _DECODER.decode(data)
    except msgspec.DecodeError as err:
        raise StorageDamagedError(f"snapshot of the replicated state: {err}") from err
    if image.format != SNAPSHOT_FORMAT:
        raise StorageDamagedError(
            f"snapshot of the replicated state has format {image.format}, "
            f"this release reads {SNAPSHOT_FORMAT}"
        )
    return image
