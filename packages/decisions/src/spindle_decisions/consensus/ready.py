"""Output of a node for its driver."""

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

    `messages` may be sent at once: those that depend on a sync are held back until it
    is reported. `batch` must be synced and reported by its `seq`; no second batch is
    handed out before that. `restore` replaces the applied state, before the entries of
    `committed` are applied in order. `reads` may be served once their index is applied.
    """

    messages: tuple[RaftMessage, ...] = ()
    batch: PersistBatch | None = None
    committed: tuple[LogEntry, ...] = ()
    restore: Snapshot | None = None
    reads: tuple[ConfirmedRead, ...] = ()
    events: tuple[RaftEvent, ...] = ()
