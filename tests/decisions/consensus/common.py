"""Raft nodes with in-memory disks and a network that the test controls."""

import random
from collections.abc import Iterable

from spindle_decisions.consensus.confirmed_read import ConfirmedRead
from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.messages import RaftMessage
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.raft_event import RaftEvent
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.consensus.raft_node import RaftNode, create_raft_node
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.consensus.role import Role
from spindle_decisions.consensus.settings import RaftSettings
from spindle_decisions.consensus.snapshot import Snapshot

TICK_S = 0.02


class MemoryDisk:
    """The synced content of one data folder."""

    def __init__(self, folder_id: str) -> None:
        self.folder_id = folder_id
        self.hard_state = HardState()
        self.snapshot: Snapshot | None = None
        self.entries: list[LogEntry] = []

    def write(self, batch: PersistBatch) -> None:
        """Apply a batch in the order snapshot, truncation, entries, hard state."""
        if batch.snapshot:
            self.snapshot = batch.snapshot
            self.entries = []
        if batch.truncate_from:
            assert any(entry.index == batch.truncate_from for entry in self.entries)
            self.entries = [e for e in self.entries if e.index < batch.truncate_from]
        for entry in batch.entries:
            assert entry.index == self.last_index + 1, "gap in the log on disk"
            self.entries.append(entry)
        if batch.hard_state:
            assert batch.hard_state.term >= self.hard_state.term
            self.hard_state = batch.hard_state

    @property
    def last_index(self) -> int:
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    def term_at(self, index: int) -> int | None:
        if self.snapshot and index == self.snapshot.index:
            return self.snapshot.term
        return next((entry.term for entry in self.entries if entry.index == index), None)

    def compact(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.entries = [entry for entry in self.entries if entry.index > snapshot.index]

    def restored(self) -> RestoredState:
        return RestoredState(self.folder_id, self.hard_state, self.snapshot, tuple(self.entries))


class Instance:
    """A node with its disk and its state machine, a list of applied commands."""

    def __init__(self, settings: RaftSettings, folder_id: str, seed: int, now: float) -> None:
        self.settings = settings
        self.disk = MemoryDisk(folder_id)
        self.seed = seed
        self.clock_offset_s = 0.0
        self.events: list[RaftEvent] = []
        self.syncing: PersistBatch | None = None
        self.start(now)

    def start(self, now: float) -> None:
        """Start a new node from the disk; a batch being synced is lost."""
        self.seed += 1000
        rng = random.Random(self.seed)
        self.node: RaftNode = create_raft_node(self.settings, self.disk.restored(), rng, now)
        self.syncing = None
        self.applied: list[bytes] = []
        self.applied_index = 0
        self.reads: list[ConfirmedRead] = []
        if self.disk.snapshot:
            self.load(self.disk.snapshot)

    def load(self, snapshot: Snapshot) -> None:
        self.applied = snapshot.data.split(b"\n") if snapshot.data else []
        self.applied_index = snapshot.index

    def apply(self, entries: Iterable[LogEntry]) -> None:
        for entry in entries:
            assert entry.index == self.applied_index + 1, "applied out of order"
            self.applied_index = entry.index
            if entry.kind is EntryKind.COMMAND:
                self.applied.append(entry.data)

    def sync(self, now: float) -> None:
        """Complete the outstanding sync, if there is one."""
        if self.syncing is None:
            return
        batch, self.syncing = self.syncing, None
        self.disk.write(batch)
        self.node.on_batch_persisted(now, batch.seq)

    def take_snapshot(self) -> None:
        """Store the applied state as a snapshot and compact the log behind it."""
        index = self.applied_index
        term = self.node.term_at(index)
        if term is None or index == 0:
            return
        data = b"\n".join(self.applied)
        snapshot = Snapshot(index, term, self.node.membership_at(index), data)
        self.disk.compact(snapshot)
        self.node.compact_log(snapshot)


class Cluster:
    """Instances and the messages between them.

    Messages wait in `network` until `deliver`. Messages between a (sender, recipient)
    pair in `cuts` are lost. With `auto_sync` every batch is synced as soon as it is polled.
    """

    def __init__(
        self, names: Iterable[str], seed: int = 1, auto_sync: bool = True, **settings: float
    ) -> None:
        self.now = 100.0
        self.names = tuple(names)
        self.auto_sync = auto_sync
        self.network: list[RaftMessage] = []
        self.cuts: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.instances: dict[str, Instance] = {}
        for offset, name in enumerate(self.names):
            peers = tuple(other for other in self.names if other != name)
            raft_settings = RaftSettings(name, peers, **settings)  # type: ignore[arg-type]
            self.instances[name] = Instance(raft_settings, f"{name}-1", seed + offset, self.now)

    def __getitem__(self, name: str) -> Instance:
        return self.instances[name]

    def membership(self) -> MembershipSet:
        return MembershipSet(tuple(Member(name, f"{name}-1", True) for name in sorted(self.names)))

    def bootstrap(self) -> None:
        for instance in self.instances.values():
            instance.node.bootstrap(self.membership())
        self.settle()

    def local_now(self, name: str) -> float:
        return self.now + self.instances[name].clock_offset_s

    def collect(self, name: str) -> None:
        """Poll one instance and carry out the returned work."""
        instance = self.instances[name]
        ready = instance.node.poll()
        self.network.extend(ready.messages)
        instance.events.extend(ready.events)
        if ready.restore:
            instance.load(ready.restore)
        instance.apply(ready.committed)
        instance.reads.extend(ready.reads)
        if ready.batch:
            assert instance.syncing is None, "a second batch while one is being synced"
            instance.syncing = ready.batch
        if self.auto_sync and instance.syncing:
            instance.sync(self.local_now(name))
            self.collect(name)

    def deliver(self, message: RaftMessage) -> None:
        if message.recipient not in self.instances or message.recipient in self.down:
            return
        if (message.sender, message.recipient) in self.cuts:
            return
        instance = self.instances[message.recipient]
        instance.node.receive(self.local_now(message.recipient), message)
        self.collect(message.recipient)

    def settle(self) -> None:
        """Poll and deliver until no message is in flight."""
        for name in self.live():
            self.collect(name)
        while self.network:
            self.deliver(self.network.pop(0))

    def run(self, seconds: float) -> None:
        """Advance the time in steps of `TICK_S`, delivering all messages at once."""
        stop = self.now + seconds
        while self.now < stop:
            self.now += TICK_S
            for name in self.live():
                self.instances[name].node.tick(self.local_now(name))
            self.settle()

    def live(self) -> list[str]:
        return [name for name in self.names if name not in self.down]

    def leader(self) -> str | None:
        """Return the live leader of the highest term."""
        leaders = [n for n in self.live() if self[n].node.role is Role.LEADER]
        return max(leaders, key=lambda name: self[name].node.term, default=None)

    def elect(self) -> str:
        """Run until there is a leader and return its name."""
        for _ in range(20):
            leader = self.leader()
            if leader:
                return leader
            self.run(0.5)
        raise AssertionError("no leader was elected within 10 s")

    def propose(self, data: bytes) -> None:
        """Propose a command at the leader and deliver all messages."""
        leader = self.elect()
        self[leader].node.propose(self.local_now(leader), data)
        self.settle()

    def cut_off(self, name: str) -> None:
        """Lose all messages from and to an instance."""
        for other in self.names:
            self.cuts.update({(name, other), (other, name)})

    def heal(self) -> None:
        self.cuts.clear()

    def wipe(self, name: str, folder_id: str) -> None:
        """Restart an instance with an empty data folder."""
        self[name].disk = MemoryDisk(folder_id)
        self.down.discard(name)
        self[name].start(self.local_now(name))

    def event_kinds(self, name: str) -> list[RaftEventKind]:
        return [event.kind for event in self[name].events]


def create_cluster(size: int, seed: int = 1, **settings: float) -> Cluster:
    """Return a bootstrapped cluster of instances a, b, c and so on."""
    cluster = Cluster("abcdefg"[:size], seed, **settings)
    cluster.bootstrap()
    return cluster
