"""A cluster under faults, with an oracle that checks it after each act."""

import random

from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_change import MembershipChange
from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.messages import RaftMessage
from spindle_decisions.consensus.persist_batch import PersistBatch
from spindle_decisions.consensus.role import Role
from spindle_decisions.exceptions import MembershipChangeError, NotLeaderError
from tests.decisions.consensus.acts import Act
from tests.decisions.consensus.common import TICK_S, Cluster, Instance, MemoryDisk
from tests.decisions.consensus.oracle import Oracle

MAX_NETWORK = 400
HEALED_RUN_S = 30.0


class World(Cluster):
    """The acts that a test may choose from; every one is safe to call at any time."""

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

    # Plumbing

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

    # Time and messages

    def run_for(self, seconds: float) -> None:
        """Let time pass with delivery, syncs and the present loss."""
        stop = self.now + seconds
        while self.now < stop:
            self.now += TICK_S
            self.tick_all()
            self.deliver_late(len(self.network))
            for name in self.awake():
                if self.rng.random() >= self.sync_delay:
                    self.sync(name)

    def tick_all(self) -> None:
        for name in self.awake():
            self[name].node.tick(self.local_now(name))
            self.collect(name)

    def advance(self, seconds: float) -> None:
        """Let time pass in one jump, without delivery."""
        self.now += seconds
        self.tick_all()

    def deliver_some(self, count: int) -> None:
        """Deliver the oldest messages in order."""
        batch, self.network = self.network[:count], self.network[count:]
        for message in batch:
            if self.rng.random() >= self.loss:
                self.deliver(message)

    def deliver_late(self, count: int) -> None:
        """Deliver the oldest messages but those that the present delay holds back."""
        now: list[RaftMessage] = []
        late: list[RaftMessage] = []
        for message in self.network[:count]:
            (late if self.rng.random() < self.message_delay else now).append(message)
        self.network[:count] = now
        self.deliver_some(len(now))
        self.network.extend(late)

    def deliver_one(self) -> None:
        """Deliver any message, out of order."""
        if self.network:
            self.deliver(self.network.pop(self.rng.randrange(len(self.network))))

    def drop_one(self) -> None:
        if self.network:
            self.network.pop(self.rng.randrange(len(self.network)))

    def duplicate_one(self) -> None:
        if self.network:
            copy = self.rng.choice(self.network)
            self.network.insert(self.rng.randrange(len(self.network) + 1), copy)

    def set_faults(self, loss: float, message_delay: float, sync_delay: float) -> None:
        """Set the chances of a loss, of a message being late and of a sync being late."""
        self.loss = loss
        self.message_delay = message_delay
        self.sync_delay = sync_delay

    def cut_one_way(self) -> None:
        self.cuts.add((self.rng.choice(self.names), self.rng.choice(self.names)))

    def isolate(self) -> None:
        self.cut_off(self.rng.choice(self.names))

    def isolate_leader(self) -> None:
        """Cut off whoever believes to lead."""
        name = self.pick(self.believed_leaders())
        if name:
            self.cut_off(name)

    def split(self) -> None:
        """Split the instances into two groups that do not hear each other."""
        self.cuts.clear()
        here = {name for name in self.names if self.rng.random() < 0.5}
        for name in here:
            for other in set(self.names) - here:
                self.cuts.update({(name, other), (other, name)})

    def believed_leaders(self) -> list[str]:
        return [name for name in self.awake() if self[name].node.role is Role.LEADER]

    # Disks and processes

    def sync(self, name: str) -> None:
        if name in self.down:
            return
        self[name].sync(self.local_now(name))
        self.collect(name)

    def sync_one(self) -> None:
        name = self.pick([n for n in self.awake() if self[n].syncing])
        if name:
            self.sync(name)

    def crash(self, name: str | None) -> None:
        """Stop an instance; a part of the batch being synced may be on disk."""
        if name is None:
            return
        batch = self[name].syncing
        if batch and self.rng.random() < 0.5:
            self[name].disk.write(self.part_of(batch))
        self.down.add(name)
        self.frozen.discard(name)

    def crash_any(self) -> None:
        self.crash(self.pick(self.live()))

    def crash_leader(self) -> None:
        self.crash(self.pick(self.believed_leaders()))

    def crash_leader_and_lose_its_batch(self) -> None:
        """Stop a leader in the middle of a sync while another that followed it is cut off."""
        name = self.pick(self.believed_leaders())
        if name is None:
            return
        self.propose_some(3)
        self.collect(name)
        for other in self.awake():
            self.deliver_some(len(self.network))
            if other != name:
                self.sync(other)
        self.deliver_some(len(self.network))
        self.tick_all()
        self.deliver_some(len(self.network))
        self.down.add(name)
        self.isolate()
        self.start(name)
        self.run_for(2.5)

    def part_of(self, batch: PersistBatch) -> PersistBatch:
        """Return what reached the disk of a batch, which is written in a fixed order."""
        if self.rng.random() < 0.5:
            return batch
        count = self.rng.randint(0, len(batch.entries))
        cut = batch.truncate_from
        return PersistBatch(batch.seq, None, cut, batch.entries[:count], batch.snapshot)

    def restart(self) -> None:
        name = self.pick(sorted(self.down))
        if name:
            self.start(name)

    def start(self, name: str) -> None:
        self.down.discard(name)
        self.oracle.seen_commit.pop(name, None)
        self.known_marks.pop(name, None)
        self[name].start(self.local_now(name))
        self.collect(name)

    def whole(self) -> list[str]:
        """Return the instances that vote under the folder which they have."""
        voters = {(member.name, member.folder_id) for member in self.oracle.membership.voters()}
        whole = [name for name in self.names if (name, self[name].disk.folder_id) in voters]
        return [name for name in whole if name not in self.removed_by_operator]

    def may_lose(self, whole: list[str]) -> bool:
        """Return whether one more may be lost or removed for a while."""
        return len(self.names) - len(whole) < (len(self.names) - 1) // 2

    def lose_disk(self) -> None:
        """Start an instance over with an empty or an older folder, if the rest can bear it."""
        whole = self.whole()
        if not self.may_lose(whole):
            return
        name = self.rng.choice(whole)
        self.folders += 1
        self.frozen.discard(name)
        old_disk = self.lost_disks.get(name)
        self.lost_disks[name] = self[name].disk
        self.wipe(name, f"{name}-{self.folders}")
        if old_disk and self.rng.random() < 0.3:
            self[name].disk = old_disk
        self.start(name)

    def freeze(self) -> None:
        name = self.pick(self.awake())
        if name:
            self.frozen.add(name)

    def wake(self) -> None:
        """Let a frozen process go on: its clock jumped, its old messages are there."""
        name = self.pick(sorted(self.frozen))
        if name:
            self.frozen.discard(name)

    def jump_clock(self, seconds: float) -> None:
        name = self.rng.choice(self.names)
        self[name].clock_offset_s += seconds

    def jump_clocks_of_followers(self, seconds: float) -> None:
        """Let all but the believed leaders think that much time has passed."""
        for name in set(self.names) - set(self.believed_leaders()):
            self[name].clock_offset_s += seconds

    def compact(self) -> None:
        name = self.pick(self.live())
        if name and self[name].syncing is None:
            self[name].take_snapshot()

    # Callers and operators

    def propose_some(self, count: int) -> None:
        """Propose at whoever believes to lead."""
        name = self.pick(self.believed_leaders())
        if name is None:
            return
        for _ in range(count):
            self.propose_at(name)
        if self.rng.random() < 0.5:
            self.collect(name)

    def propose_at(self, name: str) -> None:
        self.commands += 1
        command = b"c%d" % self.commands
        try:
            place = self[name].node.propose(self.local_now(name), command)
        except NotLeaderError:
            return
        self.oracle.proposed[place] = command

    def read_one(self) -> None:
        name = self.pick(self.believed_leaders())
        if name is None:
            return
        try:
            read_id = self[name].node.request_read(self.local_now(name))
        except NotLeaderError:
            return
        self.oracle.requested_read(name, read_id)
        if self.rng.random() < 0.5:
            self.collect(name)

    def remove_one(self) -> None:
        """Remove a whole member as an operator, if the rest can bear it."""
        whole = self.whole()
        if len(self.names) < 5 or not self.may_lose(whole):
            return
        name = self.rng.choice(whole)
        change = MembershipChange(MembershipChangeKind.REMOVE, name)
        if self.change_membership(change):
            self.removed_by_operator.add(name)

    def add_one(self) -> None:
        """Take a removed member in again."""
        name = self.pick(sorted(self.removed_by_operator))
        if name is None:
            return
        folder_id = self[name].disk.folder_id
        if self.change_membership(
            MembershipChange(MembershipChangeKind.ADD_LEARNER, name, folder_id)
        ):
            self.removed_by_operator.discard(name)

    def change_membership(self, change: MembershipChange) -> bool:
        name = self.pick(self.believed_leaders())
        if name is None:
            return False
        try:
            self[name].node.propose_membership(self.local_now(name), change)
        except (MembershipChangeError, NotLeaderError):
            return False
        self.collect(name)
        return True

    # The end

    def calm(self, seconds: float) -> None:
        """End all faults and let some time pass."""
        self.cuts.clear()
        self.set_faults(0.0, 0.0, 0.0)
        self.frozen.clear()
        for name in sorted(self.down):
            self.start(name)
        self.run_for(seconds)

    def heal_and_converge(self) -> None:
        """End all faults; then everything is one again and takes proposals."""
        self.calm(1.0)
        self.run_until_repaired()
        self.readd_missing()
        assert self.leader(), "no leader after healing"
        self.propose_some(1)
        self.run_for(1.0)
        self.check_converged()

    def run_until_repaired(self) -> None:
        """Run until every folder votes that an operator did not remove, or for long enough."""
        stop = self.now + HEALED_RUN_S
        while self.now < stop:
            self.run_for(1.0)
            voters = {member.folder_id for member in self.oracle.membership.voters()}
            known = {member.name for member in self.oracle.membership.members}
            lost = [n for n in known if self[n].disk.folder_id not in voters]
            if self.leader() and not lost:
                return

    def readd_missing(self) -> None:
        """As an operator, take in again whoever was removed."""
        for name in self.names:
            if self.oracle.membership.find(name) is None:
                self.change_membership(
                    MembershipChange(
                        MembershipChangeKind.ADD_LEARNER, name, self[name].disk.folder_id
                    )
                )
                self.run_until_repaired()

    def check_converged(self) -> None:
        wanted = MembershipSet(
            tuple(Member(name, self[name].disk.folder_id, True) for name in self.names)
        )
        assert self.oracle.membership == wanted, f"members are {self.oracle.membership}"
        for name in self.names:
            node = self[name].node
            assert self[name].applied_index == self.oracle.last_index, f"{name} is behind"
            assert self[name].applied == self.oracle.commands(self.oracle.last_index)
            assert not node.is_stale(self.local_now(name)), f"{name} is stale"
        committed = set(self.oracle.commands(self.oracle.last_index))
        assert self.oracle.acknowledged <= committed
