"""State restored from a data folder."""

import msgspec

from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.snapshot import Snapshot


class RestoredState(msgspec.Struct, frozen=True):
    """Hard state, newest snapshot and the entries after it; all empty for a blank folder."""

    folder_id: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
