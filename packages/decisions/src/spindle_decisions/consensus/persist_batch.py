"""State that is persisted as one group."""

import msgspec

from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.snapshot import Snapshot


class PersistBatch(msgspec.Struct, frozen=True):
    """One group commit, written in the order snapshot, truncation, entries, hard state.

    `seq` is passed to `RaftNode.on_batch_persisted` once everything is synced.
    `snapshot` was received from the leader and replaces log and state.
    `truncate_from` is the first index to remove, 0 for none.
    """

    seq: int
    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
