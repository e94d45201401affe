"""Leader elections: pre-vote and vote."""

import logging

from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.membership_entry import encode_membership
from spindle_decisions.consensus.messages import PreVote, PreVoteReply, Vote, VoteReply
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.consensus.replication import Replication
from spindle_decisions.consensus.role import Role

_LOGGER = logging.getLogger(__name__)

ABSENT_SEED_REASON = "the first membership has an absent seed"


class Elections:
    """Campaigns for this node and answers the vote requests of other nodes."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self.state = state
        self.replication = replication
        self.granted_by: set[str] = set()
        self.campaign_started_at = 0.0

    def tick(self) -> None:
        """Start a pre-vote once the election deadline has passed without leader contact."""
        state = self.state
        if state.candidacy is Role.LEADER or state.now < state.election_deadline:
            return
        state.reset_election_deadline()
        if state.leader:
            state.record_event(RaftEventKind.LEADER_LOST, "no word from the leader", state.leader)
        state.leader = None
        if state.forced and state.now > state.forced_until:
            state.forced = None
        if self.may_campaign() and not self.awaits_own_vote_sync():
            self.start_pre_vote()

    def awaits_own_vote_sync(self) -> bool:
        """Return whether this node is a candidate whose own vote is not synced yet.

        A new campaign would replace the vote and wait for another sync.
        """
        outbox = self.state.outbox
        own_vote_synced = outbox.hard_state_seq <= outbox.synced_seq
        return self.state.candidacy is Role.CANDIDATE and not own_vote_synced

    def may_campaign(self) -> bool:
        """Return whether this node is a voter with its present folder and was not removed."""
        return self.state.is_voter and not self.state.removed

    def start_pre_vote(self) -> None:
        """Ask the other voters whether they would vote for this node in the next term."""
        state = self.state
        state.candidacy = Role.PRE_CANDIDATE
        self.granted_by = {state.name}
        for member in state.voters:
            if member.name == state.name:
                continue
            request = PreVote(
                state.name,
                state.folder_id,
                member.name,
                state.term + 1,
                state.log.last_index,
                state.log.last_term,
            )
            state.outbox.send(request)
        self.count_pre_votes()

    def count_pre_votes(self) -> None:
        """Start the election if a majority granted the pre-vote."""
        if self.state.is_quorum(self.granted_by):
            self.start_vote()

    def start_vote(self) -> None:
        """Enter the next term, vote for this node and request the other votes."""
        state = self.state
        state.candidacy = Role.CANDIDATE
        state.enter_term(state.term + 1, state.name)
        state.reset_election_deadline()
        self.granted_by = set()
        self.campaign_started_at = state.now
        for member in state.voters:
            if member.name == state.name:
                continue
            request = Vote(
                state.name,
                state.folder_id,
                member.name,
                state.term,
                state.log.last_index,
                state.log.last_term,
            )
            state.outbox.send_after_sync(request)

    def on_synced(self) -> None:
        """Count the vote of this node for itself once it is synced."""
        state = self.state
        if state.candidacy is not Role.CANDIDATE or self.awaits_own_vote_sync():
            return
        self.granted_by.add(state.name)
        self.count_votes()

    def count_votes(self) -> None:
        """Become leader if a majority voted for this node."""
        if self.state.is_quorum(self.granted_by):
            self.become_leader()

    def become_leader(self) -> None:
        """Become leader of the current term and append its first entry."""
        state = self.state
        state.candidacy = Role.LEADER
        state.leader = state.name
        entry = state.append_as_leader(*self.first_entry_content())
        state.forced = None
        self.replication.start(entry.index, self.granted_by, self.campaign_started_at)
        _LOGGER.info("raft: became leader in term %s", state.term)
        state.record_event(RaftEventKind.LEADER_ELECTED, "won the election", state.name)

    def first_entry_content(self) -> tuple[EntryKind, bytes]:
        """Return kind and data of the first entry of a term.

        It is the forced membership if there is one. A first membership with an absent seed is
        repeated, as other seeds may have created one with that seed: it then learns that it is
        no member, and joins. Otherwise it is a no-op.
        """
        state = self.state
        if state.forced is not None:
            return EntryKind.MEMBERSHIP, encode_membership(state.forced, state.forced_reason)
        if any(not member.folder_id for member in state.voters):
            return EntryKind.MEMBERSHIP, encode_membership(state.membership, ABSENT_SEED_REASON)
        return EntryKind.NOOP, b""

    def on_pre_vote(self, message: PreVote) -> None:
        """Reply whether this node would vote for the sender."""
        state = self.state
        if state.is_blank:
            return
        removed = self.is_sender_removed(message)
        granted = (
            not removed
            and not state.has_recent_leader_contact()
            and message.term > state.term
            and not state.log.is_newer_than(message.last_index, message.last_term)
        )
        term = message.term if granted else state.term
        reply = PreVoteReply(state.name, state.folder_id, message.sender, term, granted, removed)
        state.outbox.send_after_hard_state(reply)

    def on_pre_vote_reply(self, message: PreVoteReply) -> None:
        """Count a granted pre-vote, or step down if the reply names a later term or a removal."""
        state = self.state
        if state.candidacy is not Role.PRE_CANDIDATE:
            return
        member = state.find_member(message.sender, message.sender_folder)
        if member is None:
            return
        if message.removed:
            state.record_removal(message.sender)
            return
        if not message.granted:
            self.step_down_to_term(message.term)
            return
        if message.term == state.term + 1 and member.voter:
            self.granted_by.add(message.sender)
            self.count_pre_votes()

    def step_down_to_term(self, term: int) -> None:
        """Become a follower in `term` if it is later than the current term."""
        if term > self.state.term:
            self.state.become_follower(term, None, "a later term exists")

    def on_vote(self, message: Vote) -> None:
        """Vote at most once in a term, and only for a log at least as up to date as this one."""
        state = self.state
        if state.is_blank or self.is_sender_removed(message):
            return
        if message.term > state.term and state.has_recent_leader_contact():
            return
        if message.term > state.term:
            state.become_follower(message.term, None, "a later term exists")
        granted = self.may_vote_for(message)
        if granted:
            state.enter_term(state.term, message.sender)
            state.reset_election_deadline()
        reply = VoteReply(state.name, state.folder_id, message.sender, state.term, granted)
        state.outbox.send_after_sync(reply)

    def may_vote_for(self, message: Vote) -> bool:
        """Return whether this node may vote for the sender in the current term."""
        state = self.state
        if message.term < state.term or state.vote not in ("", message.sender):
            return False
        if state.candidacy is Role.LEADER:
            return False
        return not state.log.is_newer_than(message.last_index, message.last_term)

    def on_vote_reply(self, message: VoteReply) -> None:
        """Count a granted vote, or step down if the reply names a later term."""
        state = self.state
        member = state.find_member(message.sender, message.sender_folder)
        if member is None:
            return
        if message.term > state.term:
            self.step_down_to_term(message.term)
            return
        if state.candidacy is not Role.CANDIDATE or message.term < state.term:
            return
        if message.granted and member.voter:
            self.granted_by.add(message.sender)
            self.count_votes()

    def is_sender_removed(self, message: PreVote | Vote) -> bool:
        """Return whether a committed membership newer than the log of the sender excludes it."""
        state = self.state
        indexed = state.history.at(state.commit_index)
        if (message.last_term, message.last_index) >= (indexed.term, indexed.index):
            return False
        member = indexed.membership.find(message.sender)
        return member is None or member.folder_id != message.sender_folder
