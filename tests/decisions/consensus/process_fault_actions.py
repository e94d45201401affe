"""Acts on disks, processes and clocks."""

from spindle_decisions.consensus.persist_batch import PersistBatch
from tests.decisions.consensus.caller_actions import CallerActions


class ProcessFaultActions(CallerActions):
    """Processes that crash, freeze, come back, and lose what they had."""

    def sync_one(self) -> None:
        name = self.pick([n for n in self.running() if self[n].syncing])
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
        self.suspended.discard(name)

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
        for other in self.running():
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
        self.checker.seen_commit.pop(name, None)
        self.checked_membership_index.pop(name, None)
        self[name].start(self.local_now(name))
        self.collect(name)

    def intact_voters(self) -> list[str]:
        """Return the instances that vote under the folder which they have."""
        voters = {(member.name, member.folder_id) for member in self.checker.membership.voters()}
        intact_voters = [name for name in self.names if (name, self[name].disk.folder_id) in voters]
        return [name for name in intact_voters if name not in self.removed_by_operator]

    def can_lose_one(self, intact_voters: list[str]) -> bool:
        """Return whether one more may be lost or removed for a while."""
        return len(self.names) - len(intact_voters) < (len(self.names) - 1) // 2

    def lose_disk(self) -> None:
        """Start an instance over with an empty or an older folder, if the rest can bear it."""
        intact_voters = self.intact_voters()
        if not self.can_lose_one(intact_voters):
            return
        name = self.rng.choice(intact_voters)
        self.folders += 1
        self.suspended.discard(name)
        old_disk = self.lost_disks.get(name)
        self.lost_disks[name] = self[name].disk
        self.wipe(name, f"{name}-{self.folders}")
        if old_disk and self.rng.random() < 0.3:
            self[name].disk = old_disk
        self.start(name)

    def suspend(self) -> None:
        name = self.pick(self.running())
        if name:
            self.suspended.add(name)

    def resume(self) -> None:
        """Let a frozen process go on: its clock jumped, its old messages are there."""
        name = self.pick(sorted(self.suspended))
        if name:
            self.suspended.discard(name)

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
