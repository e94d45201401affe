"""Explains consensus to operators, and forces a membership after the loss of a majority."""

import math

from spindle_daemon.components.control.raft_driver import RaftDriver
from spindle_daemon.core.clock import Clock
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.role import Role
from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.operator.repair_reply import RepairReply
from spindle_decisions.operator.repair_request import RepairRequest

ACTION_EXPLAIN = "explain"
ACTION_FORCE = "force-membership"


class RepairHandler:
    """Answers repair requests at one control instance."""

    def __init__(self, driver: RaftDriver, clock: Clock) -> None:
        self.driver = driver
        self.clock = clock

    def handle(self, request: RepairRequest) -> RepairReply:
        """Explain or force; raises `MembershipChangeError` if the node rejects the membership."""
        if request.action == ACTION_EXPLAIN:
            return RepairReply(self.explain(), self.recommended_action())
        if request.action == ACTION_FORCE:
            return self.force_membership(request)
        raise BadRequestError(
            f"action is {request.action!r}: allowed: {ACTION_EXPLAIN}, {ACTION_FORCE}"
        )

    def explain(self) -> tuple[str, ...]:
        """Return one sentence about this instance and one for each member."""
        node = self.driver.node
        leader = node.leader or "none"
        head = (
            f"this instance is {node.role.name.lower()} in term {node.term}, leader: {leader}, "
            f"last contact with a quorum: {self._quorum_age()}"
        )
        return (head, *(self._describe_member(member) for member in node.membership.members))

    def recommended_action(self) -> str:
        """Return the next action that is recommended to the operator."""
        node = self.driver.node
        if node.role is Role.BLANK:
            return (
                "this instance has no log: run bootstrap for a new deployment, or wait until "
                "the leader adds it as a learner and promotes it"
            )
        if not node.is_stale(self.clock.now()):
            return "a majority is available; lost instances rejoin without an action"
        return (
            "no majority is reachable: restart lost instances with their data folders; only if "
            "that is impossible, force the membership to the remaining instances"
        )

    def force_membership(self, request: RepairRequest) -> RepairReply:
        """Make the named members of the current membership the only voters."""
        node = self.driver.node
        if not request.reason:
            raise BadRequestError("a forced membership needs a reason")
        kept = tuple(self._kept_voter(name) for name in sorted(set(request.members)))
        lost = [item.name for item in node.membership.members if item.name not in request.members]
        node.force_membership(self.clock.now(), MembershipSet(kept), request.reason)
        self.driver.process_ready()
        return RepairReply(
            (
                f"voters are now {', '.join(item.name for item in kept)}",
                f"no longer members: {', '.join(lost) or 'none'}",
            ),
            "entries that only the removed members held are lost; the timeline has the reason",
        )

    def _kept_voter(self, name: str) -> Member:
        member = self.driver.node.membership.find(name)
        if member is None:
            raise BadRequestError(f"{name} is not a member of the current membership")
        return Member(member.name, member.folder_id, voter=True)

    def _describe_member(self, member: Member) -> str:
        kind = "voter" if member.voter else "learner, promoted once it holds all entries"
        progress = self.driver.node.progress.get(member.name)
        if progress is None:
            return f"{member.name}: {kind}"
        last = self.driver.node.last_index
        return f"{member.name}: {kind}, holds {progress.match_index} of {last} entries"

    def _quorum_age(self) -> str:
        age_s = self.driver.node.quorum_contact_age_s(self.clock.now())
        return "never" if math.isinf(age_s) else f"{age_s:.1f} s ago"
