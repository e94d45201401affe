"""Membership changes by the leader, one member at a time."""

import logging

from spindle_decisions.consensus.const import MAX_MEMBERS
from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.leader_state import LeaderState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_change import MembershipChange
from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind
from spindle_decisions.consensus.membership_entry import encode_membership
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.replication import Replication
from spindle_decisions.exceptions import MembershipChangeError

_LOGGER = logging.getLogger(__name__)


class MembershipChanges:
    """Checks a membership change against the state of the leader and appends it."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self.state = state
        self.replication = replication

    def propose(self, leader_state: LeaderState, change: MembershipChange) -> LogEntry:
        """Append the change to the log and return its entry.

        The new membership is in force at once. Raises `MembershipChangeError` with the
        reason if the change is refused.
        """
        self.check_no_pending_change(leader_state)
        membership = self.apply_change(leader_state, change)
        self.check_quorum(leader_state, membership)
        state = self.state
        reason = change.reason or f"{change.kind} {change.name}"
        data = encode_membership(membership, reason)
        entry = state.append_as_leader(EntryKind.MEMBERSHIP, data)
        self.replication.track_members(leader_state, state.log.last_index + 1)
        _LOGGER.info("raft: proposed membership change: %s", reason)
        return entry

    def can_change_membership(self, leader_state: LeaderState) -> bool:
        """Return whether no change is pending and an entry of this term is committed."""
        committed = self.state.commit_index
        return (
            committed >= leader_state.first_index and committed >= self.state.history.latest.index
        )

    def check_no_pending_change(self, leader_state: LeaderState) -> None:
        """Raise `MembershipChangeError` while a change is pending or the term has no commit."""
        if not self.can_change_membership(leader_state):
            raise MembershipChangeError("another change is under way, or the term has just begun")

    def apply_change(self, leader_state: LeaderState, change: MembershipChange) -> MembershipSet:
        """Return the membership after the change."""
        if change.kind is MembershipChangeKind.ADD_LEARNER:
            return self.add_learner(change)
        member = self.state.membership.find(change.name)
        if member is None:
            raise MembershipChangeError(f"{change.name} is not a member")
        if change.kind is MembershipChangeKind.PROMOTE:
            return self.promote_learner(leader_state, member)
        if change.kind is MembershipChangeKind.REPLACE:
            return self.replace_folder(leader_state, member, change.folder_id)
        return self.remove_member(member)

    def add_learner(self, change: MembershipChange) -> MembershipSet:
        """Return the membership with one more learner."""
        membership = self.state.membership
        if membership.find(change.name):
            raise MembershipChangeError(f"{change.name} is a member already")
        if len(membership.members) >= MAX_MEMBERS:
            raise MembershipChangeError(f"there are {MAX_MEMBERS} members, which is the most")
        if not change.folder_id:
            raise MembershipChangeError(f"the folder of {change.name} is not known")
        return with_member(membership.members, Member(change.name, change.folder_id, False))

    def promote_learner(self, leader_state: LeaderState, member: Member) -> MembershipSet:
        """Return the membership with a learner made voter, if the learner is caught up and live."""
        if member.voter:
            raise MembershipChangeError(f"{member.name} votes already")
        if not self.is_caught_up(leader_state, member):
            raise MembershipChangeError(f"{member.name} does not hold the whole log yet")
        if not self.is_live(leader_state, member):
            raise MembershipChangeError(f"{member.name} was not heard within the lease")
        return with_member(self.members_except(member), Member(member.name, member.folder_id, True))

    def is_caught_up(self, leader_state: LeaderState, member: Member) -> bool:
        """Return whether the whole log is on the disk of a member."""
        progress = leader_state.progress.get(member.name)
        return progress is not None and progress.match_index == self.state.log.last_index

    def replace_folder(
        self, leader_state: LeaderState, member: Member, folder_id: str
    ) -> MembershipSet:
        """Return the membership with the new folder of a member as a learner.

        Refused while the member is live with its present folder.
        """
        if not folder_id or folder_id == member.folder_id:
            raise MembershipChangeError(f"{member.name} has this folder already")
        if member.name == self.state.name or self.is_live(leader_state, member):
            raise MembershipChangeError(f"{member.name} is live under its present folder")
        return with_member(self.members_except(member), Member(member.name, folder_id, False))

    def is_live(self, leader_state: LeaderState, member: Member) -> bool:
        """Return whether the leader had contact with a member within the lease."""
        progress = leader_state.progress.get(member.name)
        if progress is None:
            return False
        return self.state.now - progress.contact_at <= self.state.settings.lease_s

    def remove_member(self, member: Member) -> MembershipSet:
        """Return the membership without a member, unless it is the last voter."""
        remaining = MembershipSet(self.members_except(member))
        if not remaining.voters():
            raise MembershipChangeError("the last voter cannot be removed")
        return remaining

    def members_except(self, member: Member) -> tuple[Member, ...]:
        """Return all members but one."""
        return tuple(other for other in self.state.membership.members if other != member)

    def check_quorum(self, leader_state: LeaderState, membership: MembershipSet) -> None:
        """Raise `MembershipChangeError` if no majority of the new voters is live."""
        voters = membership.voters()
        live = sum(1 for voter in voters if self.is_self_or_live(leader_state, voter))
        if live <= len(voters) // 2:
            raise MembershipChangeError(
                f"only {live} of {len(voters)} voters would be live after the change"
            )

    def is_self_or_live(self, leader_state: LeaderState, member: Member) -> bool:
        """Return whether a member is this node or is live."""
        return member.name == self.state.name or self.is_live(leader_state, member)


def with_member(members: tuple[Member, ...], member: Member) -> MembershipSet:
    """Return a membership of the given members and one more, sorted by name."""
    return MembershipSet(tuple(sorted((*members, member))))
