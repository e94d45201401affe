"""Raft safety invariants, checked independently of the nodes."""

import msgspec

from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.messages import AppendReply, RaftMessage, Vote, VoteReply
from spindle_decisions.consensus.proposal_position import ProposalPosition
from spindle_decisions.consensus.role import Role
from tests.decisions.consensus.common import Instance

FIRST_INDEX = 2


class InvariantChecker:
    """Checks one committed log, one leader per term, one vote per folder and term."""

    def __init__(self, membership: MembershipSet) -> None:
        self.log: list[LogEntry] = []
        self.commit_terms: list[int] = []
        self.membership = membership
        self.leaders: dict[int, tuple[str, str]] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.proposed: dict[ProposalPosition, bytes] = {}
        self.acknowledged: set[bytes] = set()
        self.min_read_index: dict[tuple[str, int], int] = {}
        self.checked_commit_index: dict[str, int] = {}
        self.reads_served = 0
        self.promotions = 0

    @property
    def last_index(self) -> int:
        return FIRST_INDEX - 1 + len(self.log)

    def entry(self, index: int) -> LogEntry:
        return self.log[index - FIRST_INDEX]

    def commands(self, last_index: int) -> list[bytes]:
        committed = self.log[: max(0, last_index - FIRST_INDEX + 1)]
        return [entry.data for entry in committed if entry.kind is EntryKind.COMMAND]

    def check(self, name: str, instance: Instance) -> None:
        """Check committed entries, leadership and applied state of one instance."""
        self.check_committed(name, instance)
        self.check_leader(name, instance)
        assert instance.applied == self.commands(instance.applied_index), "applied state differs"

    def check_committed(self, name: str, instance: Instance) -> None:
        """Check that committed entries never differ at an index and have no gap."""
        state = instance.node.state
        first = max(state.log.base_index + 1, self.checked_commit_index.get(name, 0) + 1)
        for entry in state.log.entries_between(first, state.commit_index):
            if entry.index <= self.last_index:
                assert self.entry(entry.index) == entry, f"{entry.index} committed twice"
                continue
            assert entry.index == self.last_index + 1, "gap in the committed entries"
            self.commit_terms.append(instance.node.term)
            self.commit(entry)
        self.checked_commit_index[name] = max(
            self.checked_commit_index.get(name, 0), state.commit_index
        )

    def commit(self, entry: LogEntry) -> None:
        self.log.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            self.membership = msgspec.msgpack.decode(entry.data, type=MembershipSet)
        command = self.proposed.get(ProposalPosition(entry.index, entry.term))
        if command is not None:
            assert entry.data == command, "another command at the position of a proposal"
            self.acknowledged.add(command)

    def check_leader(self, name: str, instance: Instance) -> None:
        """Check that a term has at most one leader and that it holds all committed entries."""
        node = instance.node
        if node.role is not Role.LEADER:
            return
        leader = (name, instance.disk.folder_id)
        known = self.leaders.setdefault(node.term, leader)
        assert known == leader, f"two leaders in term {node.term}"
        for index in range(max(node.state.log.base_index + 1, FIRST_INDEX), self.last_index + 1):
            if self.commit_terms[index - FIRST_INDEX] > node.term:
                return
            assert node.term_at(index) == self.entry(index).term, f"leader lacks {index}"

    def check_message(self, instance: Instance, message: RaftMessage) -> None:
        """Check that a vote or acknowledgement is sent only after its state is on disk."""
        disk = instance.disk
        match message:
            case Vote():
                self.check_vote(instance, message.term, message.sender)
            case VoteReply(granted=True):
                self.check_vote(instance, message.term, message.recipient)
            case AppendReply(success=True):
                assert disk.hard_state.term >= message.term, "acknowledged in a term not on disk"
                assert disk.last_index >= message.match_index, "acknowledged before the sync"

    def check_match(self, sender: Instance, recipient: Instance, message: RaftMessage) -> None:
        """Check that an acknowledged entry is the same as the entry of the leader."""
        node = recipient.node
        if not isinstance(message, AppendReply) or not message.success:
            return
        if node.role is not Role.LEADER or node.term != message.term:
            return
        expected = node.term_at(message.match_index)
        held = sender.disk.term_at(message.match_index)
        if expected is not None and held is not None:
            assert held == expected, "acknowledged another entry"

    def check_vote(self, instance: Instance, term: int, candidate: str) -> None:
        """Check that a vote is the only one in its term, on disk, and not from a blank folder."""
        disk = instance.disk
        assert disk.snapshot is not None, "a blank folder votes"
        assert disk.hard_state.term >= term, "vote was sent before its term was synced"
        if disk.hard_state.term == term:
            assert disk.hard_state.vote == candidate, "vote was sent before its sync"
        known = self.votes.setdefault((disk.folder_id, term), candidate)
        assert known == candidate, "two votes in one term"

    def check_promotion(self, index: int, member: Member, instance: Instance) -> None:
        """Check that a promoted learner holds all entries before its promotion."""
        self.promotions += 1
        assert instance.disk.folder_id == member.folder_id, "promoted a lost folder"
        assert instance.disk.last_index >= index - 1, "promoted too early"

    def record_read_request(self, name: str, read_id: int) -> None:
        self.min_read_index[name, read_id] = self.last_index

    def check_read(self, name: str, read_id: int, index: int) -> None:
        """Check that a read covers every entry that was committed anywhere at its request."""
        min_index = self.min_read_index.get((name, read_id))
        if min_index is None:
            return
        assert index >= min_index, f"read at {index}, {min_index} was committed before"
        self.reads_served += 1
