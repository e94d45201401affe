"""What a node wants done."""

import dataclasses

from spindle_decisions.consensus.confirmed_read import ConfirmedRead
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.messages import RaftMessage
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.raft_event import RaftEvent
from spindle_decisions.consensus.snapshot import Snapshot


@dataclasses.dataclass(frozen=True)
class Ready:
    """The work collected by one poll; every item is handed out once.

    `messages` may leave at once: whatever rests on a sync is held back until
    that sync was reported. `batch` is to be synced and reported by its `seq`;
    there is no second one before that. `restore` replaces the applied state and
    comes before `committed`, which is applied in order. `reads` may be served
    once their index has been applied.
    """

    messages: tuple[RaftMessage, ...] = ()
    batch: PersistBatch | None = None
    committed: tuple[LogEntry, ...] = ()
    restore: Snapshot | None = None
    reads: tuple[ConfirmedRead, ...] = ()
    events: tuple[RaftEvent, ...] = ()
