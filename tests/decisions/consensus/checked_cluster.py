"""A cluster whose invariants are checked after each step."""

import random

from spindle_decisions.consensus.messages import RaftMessage
from spindle_decisions.consensus.role import Role
from tests.decisions.consensus.actions import Action
from tests.decisions.consensus.common import Cluster, Instance, MemoryDisk
from tests.decisions.consensus.invariant_checker import InvariantChecker

MAX_QUEUED_MESSAGES = 400


class CheckedCluster(Cluster):
    """Base of the action classes: holds the fault state and checks invariants on each poll."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__("abcdefg"[:size], seed=seed, auto_sync=False, retained_log_entries=8)
        self.rng = random.Random(seed)
        self.checker = InvariantChecker(self.membership())
        self.suspended: set[str] = set()
        self.loss = 0.0
        self.message_delay = 0.0
        self.sync_delay = 0.0
        self.folder_count = 1
        self.command_count = 0
        self.lost_disks: dict[str, MemoryDisk] = {}
        self.checked_membership_index: dict[str, int] = {}
        self.removed_by_operator: set[str] = set()
        for name in self.names:
            self[name].node.bootstrap(self.membership())
            self.collect(name)
            self.sync(name)

    def perform(self, action: Action) -> None:
        getattr(self, action.name)(*action.arguments)

    def collect(self, name: str) -> None:
        instance = self[name]
        self.check_promotions(name, instance)
        before = len(self.network)
        read_count = len(instance.reads)
        super().collect(name)
        for message in self.network[before:]:
            self.checker.check_message(instance, message)
            self.checker.check_match(instance, self[message.recipient], message)
        for read in instance.reads[read_count:]:
            self.checker.check_read(name, read.read_id, read.index)
        self.checker.check(name, instance)
        del self.network[:-MAX_QUEUED_MESSAGES]

    def check_promotions(self, name: str, instance: Instance) -> None:
        """Check each voter that the newest membership of a leader adds."""
        memberships = instance.node.state.history.memberships
        if instance.node.role is not Role.LEADER or len(memberships) < 2:
            return
        newest = memberships[-1]
        if (
            newest.term != instance.node.term
            or self.checked_membership_index.get(name) == newest.index
        ):
            return
        self.checked_membership_index[name] = newest.index
        before = {member.name for member in memberships[-2].membership.voters()}
        for member in newest.membership.voters():
            if member.name not in before:
                self.checker.check_promotion(newest.index, member, self[member.name])

    def deliver(self, message: RaftMessage) -> None:
        if message.recipient in self.suspended:
            self.network.append(message)
            return
        super().deliver(message)

    def running(self) -> list[str]:
        return [name for name in self.live() if name not in self.suspended]

    def pick(self, names: list[str]) -> str | None:
        return self.rng.choice(names) if names else None

    def believed_leaders(self) -> list[str]:
        return [name for name in self.running() if self[name].node.role is Role.LEADER]

    def sync(self, name: str) -> None:
        if name in self.down:
            return
        self[name].sync(self.local_now(name))
        self.collect(name)
