"""The driver that connects agreement with network, disk and state."""

import logging
from collections.abc import Callable

import gevent
import msgspec
from gevent.queue import Queue

from spindle_daemon.components.control.const import TICK_S
from spindle_daemon.components.control.folder_writer import FolderWriter
from spindle_daemon.components.control.proposal_book import ProposalBook, ResultListener
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_daemon.helpers.fatal import terminate_process
from spindle_daemon.helpers.periodic import run_periodically
from spindle_decisions.commands.command import Result, decode_command
from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.messages import RaftMessage
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.raft_node import RaftNode
from spindle_decisions.consensus.snapshot import Snapshot
from spindle_decisions.exceptions import StorageError
from spindle_decisions.state.replicated_state import ReplicatedState
from spindle_decisions.timeline.event_kind import EventKind
from spindle_decisions.wire.raft_packet import RaftPacket

_LOGGER = logging.getLogger(__name__)

SendPacket = Callable[[str, RaftPacket], None]
AppliedListener = Callable[[Result], None]


class RaftDriver:
    """Feeds the node with time and messages and carries out what it asks for.

    One greenlet ticks, one writes batches; both share the loop, so that the
    node is never entered twice. A failed sync stops the process: what the disk
    holds is then unknown, and a retry could acknowledge what was lost.

    `on_caught_up` is called after a group of entries was applied and not between
    them, since a restarted instance applies its whole log at once.
    """

    def __init__(
        self,
        node: RaftNode,
        state: ReplicatedState,
        writer: FolderWriter,
        clock: Clock,
        timeline: TimelineSink,
        send: SendPacket,
        snapshot_every: int,
    ) -> None:
        self.node = node
        self.state = state
        self.writer = writer
        self.clock = clock
        self.timeline = timeline
        self.send = send
        self.snapshot_every = snapshot_every
        self.applied_index = 0
        self.applied_term = 0
        self.snapshot_index = 0
        self.saving = False
        self.book = ProposalBook()
        self.batches: Queue = Queue()
        self.on_applied: list[AppliedListener] = []
        self.on_restored: list[Callable[[], None]] = []
        self.on_caught_up: list[Callable[[], None]] = []

    def start(self) -> None:
        """Start the greenlets."""
        gevent.spawn(run_periodically, "raft", lambda: TICK_S, self._tick)
        gevent.spawn(self._write_forever)

    def receive(self, packet: RaftPacket) -> None:
        """Take in a message of another control instance."""
        message = msgspec.msgpack.decode(packet.data, type=RaftMessage)
        self.node.receive(self.clock.now(), message)
        self.pump()

    def propose(self, data: bytes, listener: ResultListener) -> None:
        """Append a command; raises `NotLeaderError`. The listener gets its result."""
        at = self.node.propose(self.clock.now(), data)
        self.book.add(at.index, at.term, listener)
        self.pump()

    def pump(self) -> None:
        """Carry out everything that the node asks for."""
        ready = self.node.poll()
        for message in ready.messages:
            self.send(message.recipient, RaftPacket(msgspec.msgpack.encode(message)))
        if ready.batch is not None:
            self.batches.put(ready.batch)
        if ready.restore is not None:
            self._restore(ready.restore)
        for entry in ready.committed:
            self._apply(entry)
        if ready.committed:
            for listener in self.on_caught_up:
                listener()
        for event in ready.events:
            fields = {"event": event.kind.value, "peer": event.peer, "term": event.term}
            _LOGGER.info("raft: %s: %s", event.kind, event.reason, extra=fields)
            self.timeline.add(EventKind(event.kind.value), event.reason, peer=event.peer)
        self._maybe_snapshot()

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        """Load the state of a snapshot that the data folder held at the start."""
        self._restore(snapshot)

    def _tick(self) -> None:
        self.node.tick(self.clock.now())
        self.pump()

    def _write_forever(self) -> None:
        while True:
            batch: PersistBatch = self.batches.get()
            try:
                self.writer.persist(batch)
            except StorageError as err:
                terminate_process(err)
                return
            self.node.on_batch_persisted(self.clock.now(), batch.seq)
            self.pump()

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self.state.apply(entry.index, decode_command(entry.data))
        self.applied_index = entry.index
        self.applied_term = entry.term
        self.book.applied(entry.index, entry.term, result)
        if result is not None:
            for listener in self.on_applied:
                listener(result)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.data:
            self.state.restore(snapshot.data)
        self.applied_index = snapshot.index
        self.applied_term = snapshot.term
        self.snapshot_index = snapshot.index
        self.book.skipped(snapshot.index)
        for listener in self.on_restored:
            listener()

    def _maybe_snapshot(self) -> None:
        if self.saving or self.applied_index - self.snapshot_index < self.snapshot_every:
            return
        self.saving = True
        snapshot = Snapshot(
            self.applied_index,
            self.applied_term,
            self.node.membership_at(self.applied_index),
            self.state.encode_snapshot(),
        )
        gevent.spawn(self._save, snapshot)

    def _save(self, snapshot: Snapshot) -> None:
        try:
            self.writer.save_snapshot(snapshot)
        except StorageError as err:
            terminate_process(err)
            return
        self.snapshot_index = max(self.snapshot_index, snapshot.index)
        self.node.compact_log(snapshot)
        self.saving = False
        _LOGGER.info("storage: snapshot at index %s", snapshot.index)
