"""Operator actions on a node: bootstrap and forced membership."""

import logging
import math

from spindle_decisions.consensus.const import FORCED_MEMBERSHIP_WINDOW_S, MAX_MEMBERS
from spindle_decisions.consensus.elections import Elections
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.consensus.role import Role
from spindle_decisions.consensus.snapshot import Snapshot
from spindle_decisions.exceptions import MembershipChangeError

_LOGGER = logging.getLogger(__name__)

BOOTSTRAP_INDEX = 1
BOOTSTRAP_TERM = 1


class OperatorActions:
    """Checks and performs the membership actions that only an operator may request."""

    def __init__(self, state: NodeState, elections: Elections) -> None:
        self.state = state
        self.elections = elections

    def bootstrap(self, membership: MembershipSet) -> None:
        """Start the log of a blank node with its first membership.

        Raises `MembershipChangeError` if the membership is invalid or the node has another.
        """
        state = self.state
        self.check_membership(membership)
        if not state.is_blank:
            self.check_same_bootstrap(membership)
            return
        if state.term or state.log.last_index:
            raise MembershipChangeError("this node already follows a leader")
        snapshot = Snapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, membership, b"")
        state.install_snapshot(snapshot)
        state.term = BOOTSTRAP_TERM
        state.outbox.set_hard_state(HardState(BOOTSTRAP_TERM))
        state.reset_election_deadline()
        state.record_event(RaftEventKind.MEMBERS_CHANGED, "first membership")

    def check_same_bootstrap(self, membership: MembershipSet) -> None:
        """Raise `MembershipChangeError` unless the membership equals the one in force."""
        if self.state.membership != membership:
            raise MembershipChangeError("this node already has a different membership")

    def check_membership(self, membership: MembershipSet) -> None:
        """Raise `MembershipChangeError` if the membership is invalid for this node.

        It needs 1 to `MAX_MEMBERS` unique names in order, and this node as a voter.
        """
        names = [member.name for member in membership.members]
        if not 0 < len(names) <= MAX_MEMBERS or names != sorted(set(names)):
            raise MembershipChangeError(
                f"a membership needs 1 to {MAX_MEMBERS} members with unique names, sorted by name"
            )
        own_member = membership.find(self.state.name)
        if (
            own_member is None
            or own_member.folder_id != self.state.folder_id
            or not own_member.voter
        ):
            raise MembershipChangeError(
                f"{self.state.name} must be a voter with folder id {self.state.folder_id}"
            )

    def force(self, membership: MembershipSet, reason: str) -> None:
        """Campaign under a forced membership, which replaces the one in the log once elected.

        Raises `MembershipChangeError` if it is invalid or a quorum may be reachable.
        """
        state = self.state
        self.check_membership(membership)
        self.check_majority_lost()
        state.forced = membership
        state.forced_reason = f"forced: {reason}"
        state.forced_until = state.now + FORCED_MEMBERSHIP_WINDOW_S
        state.removed = False
        _LOGGER.warning("raft: membership forced by the operator: %s", reason)
        state.record_event(RaftEventKind.MEMBERS_FORCED, reason, state.name)
        self.elections.start_pre_vote()

    def check_majority_lost(self) -> None:
        """Raise `MembershipChangeError` if this node is blank or a quorum may be reachable."""
        state = self.state
        if state.is_blank:
            raise MembershipChangeError("a blank node has no log to continue from")
        if state.candidacy is Role.LEADER:
            raise MembershipChangeError("this node is the leader and has a quorum")
        last_contact_at = max(state.quorum_contact_at, state.leader_contact_at, state.started_at)
        without_contact_s = state.now - last_contact_at
        if without_contact_s <= state.settings.lease_s:
            raise MembershipChangeError(
                "a quorum may be reachable; retry after"
                f" {math.ceil(state.settings.lease_s)} s without quorum contact"
            )
