"""Connects the Raft node with network, disk and replicated state."""

import logging
from collections.abc import Callable

import gevent
import msgspec
from gevent.queue import Queue

from spindle_daemon.components.control.const import TICK_INTERVAL_S
from spindle_daemon.components.control.folder_writer import DataFolderWriter
from spindle_daemon.components.control.pending_proposals import PendingProposals, ResultListener
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
    """Passes time and messages to the Raft node and carries out its requests.

    One greenlet ticks, another one writes batches. Both run on one event loop, so
    calls to the node never overlap. A failed sync stops the process: the content
    of the disk is then unknown, and a retry could acknowledge lost entries.

    `on_caught_up` is called after a group of entries was applied, not after each
    entry, since a restarted instance applies its entire log at once.
    """

    def __init__(
        self,
        node: RaftNode,
        state: ReplicatedState,
        writer: DataFolderWriter,
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
        self.saving_snapshot = False
        self.pending_proposals = PendingProposals()
        self.batches: Queue = Queue()
        self.on_applied: list[AppliedListener] = []
        self.on_restored: list[Callable[[], None]] = []
        self.on_caught_up: list[Callable[[], None]] = []

    def start(self) -> None:
        """Start the greenlets that tick and write."""
        gevent.spawn(run_periodically, "raft", lambda: TICK_INTERVAL_S, self._tick)
        gevent.spawn(self._write_forever)

    def on_message(self, packet: RaftPacket) -> None:
        """Pass a message of another control instance to the node."""
        message = msgspec.msgpack.decode(packet.data, type=RaftMessage)
        self.node.receive(self.clock.now(), message)
        self.process_ready()

    def propose(self, data: bytes, listener: ResultListener) -> None:
        """Append a command; the listener gets its result. Raises `NotLeaderError`."""
        position = self.node.propose(self.clock.now(), data)
        self.pending_proposals.add(position.index, position.term, listener)
        self.process_ready()

    def process_ready(self) -> None:
        """Carry out all pending requests of the node."""
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
        self._start_snapshot_if_due()

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        """Load the state from the snapshot that was found in the data folder at the start."""
        self._restore(snapshot)

    def _tick(self) -> None:
        self.node.tick(self.clock.now())
        self.process_ready()

    def _write_forever(self) -> None:
        while True:
            batch: PersistBatch = self.batches.get()
            try:
                self.writer.persist(batch)
            except StorageError as err:
                terminate_process(err)
                return
            self.node.on_batch_persisted(self.clock.now(), batch.seq)
            self.process_ready()

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self.state.apply(entry.index, decode_command(entry.data))
        self.applied_index = entry.index
        self.applied_term = entry.term
        self.pending_proposals.on_applied(entry.index, entry.term, result)
        if result is not None:
            for listener in self.on_applied:
                listener(result)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.data:
            self.state.restore(snapshot.data)
        self.applied_index = snapshot.index
        self.applied_term = snapshot.term
        self.snapshot_index = snapshot.index
        self.pending_proposals.discard_through(snapshot.index)
        for listener in self.on_restored:
            listener()

    def _start_snapshot_if_due(self) -> None:
        if self.saving_snapshot or self.applied_index - self.snapshot_index < self.snapshot_every:
            return
        self.saving_snapshot = True
        snapshot = Snapshot(
            self.applied_index,
            self.applied_term,
            self.node.membership_at(self.applied_index),
            self.state.encode_snapshot(),
        )
        gevent.spawn(self._save_snapshot, snapshot)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        try:
            self.writer.save_snapshot(snapshot)
        except StorageError as err:
            terminate_process(err)
            return
        self.snapshot_index = max(self.snapshot_index, snapshot.index)
        self.node.compact_log(snapshot)
        self.saving_snapshot = False
        _LOGGER.info("storage: finished the snapshot at entry %s", snapshot.index)
