"""Queue of state to persist and of messages that wait for its sync."""

import dataclasses

from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.messages import RaftMessage
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.snapshot import Snapshot


@dataclasses.dataclass(frozen=True)
class DeferredMessage:
    """A message that is sent once batch `seq` is synced."""

    seq: int
    message: RaftMessage


class Outbox:
    """Collects outgoing messages, and state for the next batch while another is being synced.

    `persisted_index` is the index up to which the log in memory is on disk.
    `synced_seq` is the sequence number of the last synced batch. `scheduled_index` is
    the last log index handed out in a batch. `valid_index` is the last index of the
    outstanding batch that was not truncated since.
    """

    def __init__(self, persisted_index: int) -> None:
        self.persisted_index = persisted_index
        self.synced_seq = 0
        self.outstanding: PersistBatch | None = None
        self.outstanding_since = 0.0
        self.hard_state_seq = 0
        self.sendable: list[RaftMessage] = []
        self.deferred: list[DeferredMessage] = []
        self.next_seq = 1
        self.next_hard_state: HardState | None = None
        self.next_truncate_from = 0
        self.next_entries: list[LogEntry] = []
        self.next_snapshot: Snapshot | None = None
        self.scheduled_index = persisted_index
        self.valid_index = 0
        self.log_replaced = False

    def set_hard_state(self, hard_state: HardState) -> None:
        """Put term and vote into the next batch."""
        self.next_hard_state = hard_state
        self.hard_state_seq = self.next_seq

    def append(self, entry: LogEntry) -> None:
        """Put an entry into the next batch."""
        self.next_entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at `index` and all after it, also from the disk if scheduled."""
        self.next_entries = [entry for entry in self.next_entries if entry.index < index]
        self.persisted_index = min(self.persisted_index, index - 1)
        self.valid_index = min(self.valid_index, index - 1)
        if index > self.scheduled_index:
            return
        self.scheduled_index = index - 1
        self.next_truncate_from = index

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Put a snapshot that replaces the whole log into the next batch."""
        self.next_snapshot = snapshot
        self.next_entries = []
        self.next_truncate_from = 0
        self.persisted_index = 0
        self.scheduled_index = snapshot.index
        self.log_replaced = True

    def send(self, message: RaftMessage) -> None:
        """Send a message at once."""
        self.sendable.append(message)

    def send_after_hard_state(self, message: RaftMessage) -> None:
        """Send a message once the current term and vote are on disk."""
        self.send_after_batch(self.hard_state_seq, message)

    def send_after_sync(self, message: RaftMessage) -> None:
        """Send a message once everything collected before it is on disk."""
        self.send_after_batch(self.last_batch_seq, message)

    def send_after_batch(self, seq: int, message: RaftMessage) -> None:
        """Send a message once batch `seq` is synced."""
        if seq <= self.synced_seq:
            self.sendable.append(message)
            return
        self.deferred.append(DeferredMessage(seq, message))

    @property
    def last_batch_seq(self) -> int:
        """Return the sequence number of the batch with the newest state."""
        if self.has_next:
            return self.next_seq
        return self.next_seq - 1

    @property
    def has_next(self) -> bool:
        """Return whether the next batch has content."""
        return bool(
            self.next_entries
            or self.next_hard_state
            or self.next_truncate_from
            or self.next_snapshot
        )

    def take_batch(self, now: float) -> PersistBatch | None:
        """Return the next batch, `None` while another is being synced or if it is empty."""
        if self.outstanding or not self.has_next:
            return None
        batch = PersistBatch(
            self.next_seq,
            self.next_hard_state,
            self.next_truncate_from,
            tuple(self.next_entries),
            self.next_snapshot,
        )
        if batch.entries:
            self.scheduled_index = batch.entries[-1].index
        self.valid_index = self.scheduled_index
        self.log_replaced = False
        self.next_seq += 1
        self.next_hard_state = None
        self.next_truncate_from = 0
        self.next_entries = []
        self.next_snapshot = None
        self.outstanding = batch
        self.outstanding_since = now
        return batch

    def take_sendable(self) -> tuple[RaftMessage, ...]:
        """Return and clear the messages that may be sent now."""
        messages = tuple(self.sendable)
        self.sendable = []
        return messages

    def on_batch_persisted(self, seq: int, term: int) -> PersistBatch | None:
        """Record that batch `seq` is synced and return it, `None` if it is not outstanding.

        Deferred messages that waited for it become sendable; those of terms before
        `term` are dropped.
        """
        batch = self.outstanding
        if batch is None or batch.seq != seq:
            return None
        self.outstanding = None
        self.synced_seq = seq
        self.release(term)
        if self.log_replaced:
            return batch
        if batch.snapshot:
            self.persisted_index = batch.snapshot.index
        if batch.entries:
            synced = min(batch.entries[-1].index, self.valid_index)
            self.persisted_index = max(self.persisted_index, synced)
        return batch

    def release(self, term: int) -> None:
        """Make the deferred messages of synced batches sendable; drop those before `term`."""
        still_deferred: list[DeferredMessage] = []
        for deferred in self.deferred:
            if deferred.seq > self.synced_seq:
                still_deferred.append(deferred)
                continue
            if deferred.message.term >= term:
                self.sendable.append(deferred.message)
        self.deferred = still_deferred
