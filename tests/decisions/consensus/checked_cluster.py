"""A cluster whose every step an oracle checks."""

import random

from spindle_decisions.consensus.messages import RaftMessage
from spindle_decisions.consensus.role import Role
from tests.decisions.consensus.acts import Act
from tests.decisions.consensus.common import Cluster, Instance, MemoryDisk
from tests.decisions.consensus.oracle import Oracle

MAX_NETWORK = 400


class CheckedCluster(Cluster):
    """What all acts share: whose turn it is, and what is compared after each."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__("abcdefg"[:size], seed=seed, auto_sync=False, keep_entries=8)
        self.rng = random.Random(seed)
        self.oracle = Oracle(self.membership())
        self.frozen: set[str] = set()
        self.loss = 0.0
        self.message_delay = 0.0
        self.sync_delay = 0.0
        self.folders = 1
        self.commands = 0
        self.lost_disks: dict[str, MemoryDisk] = {}
        self.known_marks: dict[str, int] = {}
        self.removed_by_operator: set[str] = set()
        for name in self.names:
            self[name].node.bootstrap(self.membership())
            self.collect(name)
            self.sync(name)

    def act(self, act: Act) -> None:
        getattr(self, act.name)(*act.arguments)

    def collect(self, name: str) -> None:
        instance = self[name]
        self.check_promotions(name, instance)
        before = len(self.network)
        read_count = len(instance.reads)
        super().collect(name)
        for message in self.network[before:]:
            self.oracle.check_message(instance, message)
            self.oracle.check_match(instance, self[message.recipient], message)
        for read in instance.reads[read_count:]:
            self.oracle.check_read(name, read.read_id, read.index)
        self.oracle.check(name, instance)
        del self.network[:-MAX_NETWORK]

    def check_promotions(self, name: str, instance: Instance) -> None:
        """Compare the newest membership of a leader with the one before it."""
        marks = instance.node.state.history.marks
        if instance.node.role is not Role.LEADER or len(marks) < 2:
            return
        newest = marks[-1]
        if newest.term != instance.node.term or self.known_marks.get(name) == newest.index:
            return
        self.known_marks[name] = newest.index
        before = {member.name for member in marks[-2].membership.voters()}
        for member in newest.membership.voters():
            if member.name not in before:
                self.oracle.check_promotion(newest.index, member, self[member.name])

    def deliver(self, message: RaftMessage) -> None:
        if message.recipient in self.frozen:
            self.network.append(message)
            return
        super().deliver(message)

    def awake(self) -> list[str]:
        return [name for name in self.live() if name not in self.frozen]

    def pick(self, names: list[str]) -> str | None:
        return self.rng.choice(names) if names else None

    def believed_leaders(self) -> list[str]:
        return [name for name in self.awake() if self[name].node.role is Role.LEADER]

    def sync(self, name: str) -> None:
        if name in self.down:
            return
        self[name].sync(self.local_now(name))
        self.collect(name)
