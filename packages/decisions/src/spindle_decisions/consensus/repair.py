"""Automatic membership repair: joining, replacement, promotion and removal."""

import logging

from spindle_decisions.consensus.const import MAX_JOIN_REQUESTS
from spindle_decisions.consensus.leader_state import LeaderState
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_change import MembershipChange
from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind
from spindle_decisions.consensus.membership_changes import MembershipChanges
from spindle_decisions.consensus.messages import JoinRequest
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.exceptions import MembershipChangeError

_LOGGER = logging.getLogger(__name__)


class MembershipRepair:
    """Sends join requests; as leader adds, replaces, promotes and removes members.

    `requests` holds the folder id of the latest join request by instance name, so that an
    operator can add the instance by name.
    """

    def __init__(self, state: NodeState, changes: MembershipChanges) -> None:
        self.state = state
        self.changes = changes
        self.requests: dict[str, str] = {}
        self.refusals: dict[str, str] = {}
        self.next_request_at = state.now

    def tick(self) -> None:
        """Send join requests to all known instances while this folder is not a voter.

        A learner sends them too: the entry that added it may have been truncated, and
        the leader then ignores its acknowledgements.
        """
        state = self.state
        if state.now < self.next_request_at:
            return
        if state.is_voter and not state.removed:
            return
        self.next_request_at = state.now + state.settings.election_max_s
        for name in self.known_names():
            request = JoinRequest(state.name, state.folder_id, name, state.term)
            state.outbox.send(request)

    def known_names(self) -> list[str]:
        """Return the names of all other instances that may be the leader."""
        names = set(self.state.settings.peers) | self.state.known_peers
        names.update(member.name for member in self.state.membership.members)
        names.discard(self.state.name)
        return sorted(names)

    def on_join_request(self, leader_state: LeaderState, message: JoinRequest) -> None:
        """Add an unknown instance, or replace the lost folder of a member by the new one."""
        if message.sender in self.requests or len(self.requests) < MAX_JOIN_REQUESTS:
            self.requests[message.sender] = message.sender_folder
        member = self.state.membership.find(message.sender)
        if member is None:
            self.add_newcomer(leader_state, message)
            return
        if member.folder_id == message.sender_folder or not self.changes.can_change_membership(
            leader_state
        ):
            return
        self.replace_lost_folder(leader_state, message)

    def add_newcomer(self, leader_state: LeaderState, message: JoinRequest) -> None:
        """Add an unknown instance as a learner, if the settings allow automatic joins."""
        if not self.state.settings.auto_join:
            self.record_refusal(message.sender, "not a member; an operator may add it")
            return
        if self.changes.can_change_membership(leader_state):
            reason = f"{message.sender} asked to join"
            change = MembershipChange(
                MembershipChangeKind.ADD_LEARNER, message.sender, message.sender_folder, reason
            )
            self.propose_repair_change(leader_state, change)

    def remove_unresponsive_member(self, leader_state: LeaderState) -> None:
        """Remove a member without contact for long; a voter only while enough others are live.

        A replaced machine never returns, but its vote would still count towards the
        majority. A member that was only isolated sends join requests when it returns.
        """
        settings = self.state.settings
        if not settings.auto_join or not self.changes.can_change_membership(leader_state):
            return
        unresponsive = [
            name for name in self.unresponsive_members(leader_state) if name != self.state.name
        ]
        voters = {member.name for member in self.state.voters}
        for name in unresponsive:
            if (
                name in voters
                and len(voters - set(unresponsive)) < settings.removal_min_live_voters
            ):
                continue
            reason = f"{name} was silent for {settings.unresponsive_removal_s:.0f} s"
            self.propose_repair_change(
                leader_state, MembershipChange(MembershipChangeKind.REMOVE, name, reason=reason)
            )
            return

    def unresponsive_members(self, leader_state: LeaderState) -> list[str]:
        """Return the members without contact to this leader for `unresponsive_removal_s`."""
        since = self.state.now - self.state.settings.unresponsive_removal_s
        return [
            name
            for name, progress in leader_state.progress.items()
            if max(progress.contact_at, progress.tracked_since) < since
        ]

    def propose_repair_change(self, leader_state: LeaderState, change: MembershipChange) -> None:
        """Propose a membership change and record an event, or record why it is refused."""
        try:
            self.changes.propose(leader_state, change)
        except MembershipChangeError as err:
            self.record_refusal(change.name, str(err))
            return
        self.refusals.pop(change.name, None)
        self.state.record_event(RaftEventKind.REPAIR_STEP, change.reason, change.name)

    def replace_lost_folder(self, leader_state: LeaderState, message: JoinRequest) -> None:
        """Propose the new folder of a member as a learner in place of the lost one."""
        change = MembershipChange(
            MembershipChangeKind.REPLACE,
            message.sender,
            message.sender_folder,
            f"{message.sender} came back with another data folder",
        )
        self.propose_repair_change(leader_state, change)

    def record_refusal(self, name: str, reason: str) -> None:
        """Log and record a refusal once, not for every request with the same reason."""
        if self.refusals.get(name) == reason:
            return
        if len(self.refusals) >= MAX_JOIN_REQUESTS:
            self.refusals.clear()
        self.refusals[name] = reason
        _LOGGER.warning("raft: refused a membership change of %s: %s", name, reason)
        self.state.record_event(RaftEventKind.REFUSED, reason, name)

    def promote_caught_up_learner(self, leader_state: LeaderState) -> None:
        """Propose the promotion of one live learner that holds the whole log."""
        if not self.changes.can_change_membership(leader_state):
            return
        for member in self.state.membership.members:
            if member.voter or not self.changes.is_caught_up(leader_state, member):
                continue
            if self.changes.is_live(leader_state, member):
                self.promote(leader_state, member)
                return

    def promote(self, leader_state: LeaderState, member: Member) -> None:
        """Propose the promotion of a learner."""
        reason = f"{member.name} holds the whole log"
        change = MembershipChange(MembershipChangeKind.PROMOTE, member.name, reason=reason)
        self.propose_repair_change(leader_state, change)
