"""A simulated cluster with random faults and invariant checks."""

from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_change import MembershipChange
from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.exceptions import MembershipChangeError, NotLeaderError
from tests.decisions.consensus.process_fault_actions import ProcessFaultActions

REPAIR_TIMEOUT_S = 30.0


class SimulatedCluster(ProcessFaultActions):
    """All actions that a test may choose from; each is safe to call at any time."""

    def remove_one(self) -> None:
        """Remove an intact voter of 5 or more as an operator, if a majority stays intact."""
        intact_voters = self.intact_voters()
        if len(self.names) < 5 or not self.can_lose_one(intact_voters):
            return
        name = self.rng.choice(intact_voters)
        change = MembershipChange(MembershipChangeKind.REMOVE, name)
        if self.change_membership(change):
            self.removed_by_operator.add(name)

    def add_one(self) -> None:
        """Add a removed member again as a learner."""
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

    def end_faults(self, seconds: float) -> None:
        """End all faults, restart stopped instances and run for some time."""
        self.cuts.clear()
        self.set_faults(0.0, 0.0, 0.0)
        self.suspended.clear()
        for name in sorted(self.down):
            self.start(name)
        self.run_for(seconds)

    def heal_and_converge(self) -> None:
        """End all faults and check that the cluster converges and commits a proposal."""
        self.end_faults(1.0)
        self.run_until_repaired()
        self.readd_missing()
        assert self.leader(), "no leader after healing"
        self.propose_some(1)
        self.run_for(1.0)
        self.check_converged()

    def run_until_repaired(self) -> None:
        """Run until every member votes with its current folder, at most `REPAIR_TIMEOUT_S`."""
        stop = self.now + REPAIR_TIMEOUT_S
        while self.now < stop:
            self.run_for(1.0)
            voters = {member.folder_id for member in self.checker.membership.voters()}
            known = {member.name for member in self.checker.membership.members}
            lost = [n for n in known if self[n].disk.folder_id not in voters]
            if self.leader() and not lost:
                return

    def readd_missing(self) -> None:
        """Add the removed instances again as an operator."""
        for name in self.names:
            if self.checker.membership.find(name) is None:
                self.change_membership(
                    MembershipChange(
                        MembershipChangeKind.ADD_LEARNER, name, self[name].disk.folder_id
                    )
                )
                self.run_until_repaired()

    def check_converged(self) -> None:
        expected = MembershipSet(
            tuple(Member(name, self[name].disk.folder_id, True) for name in self.names)
        )
        assert self.checker.membership == expected, f"members are {self.checker.membership}"
        for name in self.names:
            node = self[name].node
            assert self[name].applied_index == self.checker.last_index, f"{name} is behind"
            assert self[name].applied == self.checker.commands(self.checker.last_index)
            assert not node.is_stale(self.local_now(name)), f"{name} is stale"
        committed = set(self.checker.commands(self.checker.last_index))
        assert self.checker.acknowledged <= committed
