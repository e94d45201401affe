"""Actions on disks, processes and clocks."""

from spindle_decisions.consensus.persist_batch import PersistBatch
from tests.decisions.consensus.caller_actions import CallerActions


class ProcessFaultActions(CallerActions):
    """Crashes, restarts, suspensions, disk losses, clock jumps and snapshots."""

    def sync_one(self) -> None:
        name = self.pick([n for n in self.running() if self[n].syncing])
        if name:
            self.sync(name)

    def crash(self, name: str | None) -> None:
        """Stop an instance; part of the batch being synced may reach the disk."""
        if name is None:
            return
        batch = self[name].syncing
        if batch and self.rng.random() < 0.5:
            self[name].disk.write(self.partial_batch(batch))
        self.down.add(name)
        self.suspended.discard(name)

    def crash_any(self) -> None:
        self.crash(self.pick(self.live()))

    def crash_leader(self) -> None:
        self.crash(self.pick(self.believed_leaders()))

    def crash_leader_and_lose_its_batch(self) -> None:
        """Restart a leader without its unsynced batch, with one instance isolated.

        The followers have synced the entries of that batch before.
        """
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

    def partial_batch(self, batch: PersistBatch) -> PersistBatch:
        """Return a random prefix of a batch in its write order, as left by a crash."""
        if self.rng.random() < 0.5:
            return batch
        count = self.rng.randint(0, len(batch.entries))
        truncate_from = batch.truncate_from
        return PersistBatch(batch.seq, None, truncate_from, batch.entries[:count], batch.snapshot)

    def restart(self) -> None:
        name = self.pick(sorted(self.down))
        if name:
            self.start(name)

    def start(self, name: str) -> None:
        self.down.discard(name)
        self.checker.checked_commit_index.pop(name, None)
        self.checked_membership_index.pop(name, None)
        self[name].start(self.local_now(name))
        self.collect(name)

    def intact_voters(self) -> list[str]:
        """Return the instances whose current folder is a voter, except removed ones."""
        voters = {(member.name, member.folder_id) for member in self.checker.membership.voters()}
        intact_voters = [name for name in self.names if (name, self[name].disk.folder_id) in voters]
        return [name for name in intact_voters if name not in self.removed_by_operator]

    def can_lose_one(self, intact_voters: list[str]) -> bool:
        """Return whether a majority stays intact if one more instance is lost or removed."""
        return len(self.names) - len(intact_voters) < (len(self.names) - 1) // 2

    def lose_disk(self) -> None:
        """Restart an instance with an empty or an older folder, if a majority stays intact."""
        intact_voters = self.intact_voters()
        if not self.can_lose_one(intact_voters):
            return
        name = self.rng.choice(intact_voters)
        self.folder_count += 1
        self.suspended.discard(name)
        old_disk = self.lost_disks.get(name)
        self.lost_disks[name] = self[name].disk
        self.wipe(name, f"{name}-{self.folder_count}")
        if old_disk and self.rng.random() < 0.3:
            self[name].disk = old_disk
        self.start(name)

    def suspend(self) -> None:
        name = self.pick(self.running())
        if name:
            self.suspended.add(name)

    def resume(self) -> None:
        """Resume a suspended process: its clock has jumped and old messages are queued."""
        name = self.pick(sorted(self.suspended))
        if name:
            self.suspended.discard(name)

    def jump_clock(self, seconds: float) -> None:
        name = self.rng.choice(self.names)
        self[name].clock_offset_s += seconds

    def jump_clocks_of_followers(self, seconds: float) -> None:
        """Advance the clocks of all instances that don't consider themselves leader."""
        for name in set(self.names) - set(self.believed_leaders()):
            self[name].clock_offset_s += seconds

    def compact(self) -> None:
        name = self.pick(self.live())
        if name and self[name].syncing is None:
            self[name].take_snapshot()
