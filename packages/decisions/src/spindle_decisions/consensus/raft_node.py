"""One Raft node as a state machine without I/O."""

import math
import random

from spindle_decisions.consensus.committed_entries import CommittedEntries
from spindle_decisions.consensus.elections import Elections
from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.following import FollowerHandler
from spindle_decisions.consensus.leader_state import LeaderState
from spindle_decisions.consensus.membership_change import MembershipChange
from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind
from spindle_decisions.consensus.membership_changes import MembershipChanges
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    JoinRequest,
    PreVote,
    PreVoteReply,
    RaftMessage,
    Vote,
    VoteReply,
)
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.operator_acts import OperatorActions
from spindle_decisions.consensus.progress import Progress
from spindle_decisions.consensus.proposal_position import ProposalPosition
from spindle_decisions.consensus.read_index_tracker import ReadIndexTracker
from spindle_decisions.consensus.ready import Ready
from spindle_decisions.consensus.repair import MembershipRepair
from spindle_decisions.consensus.replication import Replication
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.consensus.role import Role
from spindle_decisions.consensus.settings import RaftSettings
from spindle_decisions.consensus.snapshot import Snapshot
from spindle_decisions.exceptions import NotLeaderError


class RaftNode:
    """Turns time, messages, syncs and proposals into the work that `poll` returns.

    Every call with `now`, in monotonic seconds, first steps down from a leadership whose
    last quorum contact is too old or whose disk stalls, so that a process resumed after
    a suspension doesn't act on outdated state.

    Example of a driver:

        node.receive(now, message)
        ready = node.poll()
        send(ready.messages)
        sync(ready.batch)
        node.on_batch_persisted(now, ready.batch.seq)
    """

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.replication = Replication(state)
        self.elections = Elections(state, self.replication)
        self.follower_handler = FollowerHandler(state)
        self.reads = ReadIndexTracker(state, self.replication)
        self.changes = MembershipChanges(state, self.replication)
        self.repair = MembershipRepair(state, self.changes)
        self.operator_actions = OperatorActions(state, self.elections)
        self.committed_entries = CommittedEntries(state)

    @property
    def role(self) -> Role:
        """Return the current role."""
        return self.state.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.state.term

    @property
    def leader(self) -> str | None:
        """Return the name of the leader of the current term, `None` if it is not known."""
        return self.state.leader

    @property
    def commit_index(self) -> int:
        """Return the index up to which the log is known to be committed."""
        return self.state.commit_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, committed or not."""
        return self.state.log.last_index

    @property
    def membership(self) -> MembershipSet:
        """Return the membership in force."""
        return self.state.membership

    @property
    def progress(self) -> dict[str, Progress]:
        """Return the replication progress of the other members; empty unless this node leads."""
        leader_state = self.state.leader_state
        return leader_state.progress if leader_state else {}

    def membership_at(self, index: int) -> MembershipSet:
        """Return the membership in force at `index`, for a snapshot at that index."""
        return self.state.history.at(index).membership

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, `None` if the log does not hold it."""
        return self.state.log.term_at(index)

    def tick(self, now: float) -> None:
        """Advance the clock; run due elections, heartbeats, repairs and join requests."""
        leader_state = self.advance_clock(now)
        if leader_state:
            self.replication.tick(leader_state)
            self.repair.remove_unresponsive_member(leader_state)
            return
        self.elections.tick()
        self.repair.tick()

    def advance_clock(self, now: float) -> LeaderState | None:
        """Advance the clock and return the leader state, `None` if this node does not lead.

        A leader without recent quorum contact or with a stalled disk steps down first.
        """
        state = self.state
        state.advance_clock(now)
        leader_state = state.leader_state
        if leader_state is None:
            return None
        reason = self.step_down_reason(leader_state)
        if reason is None:
            return leader_state
        state.quorum_contact_at = self.replication.last_quorum_contact_at(leader_state, state.now)
        state.become_follower(state.term, None, reason)
        state.reset_election_deadline()
        return None

    def step_down_reason(self, leader_state: LeaderState) -> str | None:
        """Return why the leader must step down, or `None`."""
        state = self.state
        if (
            self.replication.quorum_contact_age_s(leader_state, state.now)
            > state.settings.election_max_s
        ):
            return "no quorum was heard"
        outbox = state.outbox
        if outbox.outstanding and state.now - outbox.outstanding_since > state.settings.lease_s:
            return "the own disk does not sync"
        return None

    def receive(self, now: float, message: RaftMessage) -> None:
        """Handle a message of another node."""
        leader_state = self.advance_clock(now)
        if message.recipient != self.state.name or message.sender == self.state.name:
            return
        match message:
            case Append():
                self.follower_handler.on_append(message)
            case InstallSnapshot():
                self.follower_handler.on_install_snapshot(message)
            case PreVote():
                self.elections.on_pre_vote(message)
            case PreVoteReply():
                self.elections.on_pre_vote_reply(message)
            case Vote():
                self.elections.on_vote(message)
            case VoteReply():
                self.elections.on_vote_reply(message)
            case AppendReply() | InstallSnapshotReply():
                self.receive_reply(leader_state, message)
            case JoinRequest():
                if leader_state:
                    self.repair.on_join_request(leader_state, message)

    def receive_reply(
        self, leader_state: LeaderState | None, message: AppendReply | InstallSnapshotReply
    ) -> None:
        """Handle the reply of a member to a message that this node sent as leader."""
        state = self.state
        if state.find_member(message.sender, message.sender_folder) is None:
            return
        if message.term > state.term:
            state.become_follower(message.term, None, "a later term exists")
            return
        if leader_state is None or message.term < state.term:
            return
        if isinstance(message, AppendReply):
            self.replication.on_append_reply(leader_state, message)
        else:
            self.replication.on_snapshot_reply(leader_state, message)
        self.reads.confirm(leader_state)
        self.repair.promote_caught_up_learner(leader_state)

    def propose(self, now: float, data: bytes) -> ProposalPosition:
        """Append a command and return its position.

        Raises `NotLeaderError` if this node is not the leader.
        """
        self.require_leader_state(now)
        entry = self.state.append_as_leader(EntryKind.COMMAND, data)
        return ProposalPosition(entry.index, entry.term)

    def propose_membership(self, now: float, change: MembershipChange) -> ProposalPosition:
        """Append a membership change and return its position.

        Raises `NotLeaderError` if this node is not the leader, and `MembershipChangeError`
        if the change is refused.
        """
        leader_state = self.require_leader_state(now)
        if change.kind is MembershipChangeKind.ADD_LEARNER and not change.folder_id:
            folder_id = self.repair.requests.get(change.name, "")
            change = MembershipChange(change.kind, change.name, folder_id, change.reason)
        entry = self.changes.propose(leader_state, change)
        return ProposalPosition(entry.index, entry.term)

    def request_read(self, now: float) -> int:
        """Start a linearizable read and return its id; `poll` reports it once it is confirmed.

        Raises `NotLeaderError` if this node is not the leader. Reads that are not reported
        before the event `LEADER_LOST` are dropped.
        """
        return self.reads.request(self.require_leader_state(now))

    def require_leader_state(self, now: float) -> LeaderState:
        """Return the leader state; raises `NotLeaderError` if this node is not the leader."""
        leader_state = self.advance_clock(now)
        if leader_state is None:
            raise NotLeaderError(self.state.leader)
        return leader_state

    def update_known_peers(self, names: frozenset[str]) -> None:
        """Set the discovered control instances, which also receive join requests."""
        self.state.known_peers = names

    def bootstrap(self, membership: MembershipSet) -> None:
        """Give a blank node its first membership; repeating the same one changes nothing.

        Raises `MembershipChangeError` if the membership is invalid or the node has another.
        """
        self.operator_actions.bootstrap(membership)

    def force_membership(self, now: float, membership: MembershipSet, reason: str) -> None:
        """Force a membership after a majority was lost permanently.

        The node campaigns under it and, once elected, appends it to the log with the
        reason. Raises `MembershipChangeError` while a quorum may be reachable.
        """
        self.advance_clock(now)
        self.operator_actions.force(membership, reason)

    def poll(self) -> Ready:
        """Return the work collected since the last call."""
        state = self.state
        if state.leader_state:
            self.reads.start_round_for_new_reads(state.leader_state)
            self.replication.send_pending_entries(state.leader_state)
        batch = state.outbox.take_batch(state.now)
        committed = self.committed_entries.take_committed()
        ready = Ready(
            state.outbox.take_sendable(),
            batch,
            committed,
            state.restore,
            tuple(state.confirmed_reads),
            tuple(state.events),
        )
        state.restore = None
        state.confirmed_reads = []
        state.events = []
        return ready

    def on_batch_persisted(self, now: float, seq: int) -> None:
        """Record that batch `seq` is synced, and release what waited for it."""
        leader_state = self.advance_clock(now)
        state = self.state
        batch = state.outbox.on_batch_persisted(seq, state.term)
        if batch is None:
            return
        if batch.snapshot:
            state.restore = batch.snapshot
        self.elections.on_synced()
        if leader_state:
            self.replication.advance_commit(leader_state)

    def compact_log(self, snapshot: Snapshot) -> None:
        """Compact the log behind a snapshot of the applied state that is on disk."""
        state = self.state
        newest = state.log.snapshot
        if newest and snapshot.index <= newest.index:
            return
        state.log.compact(snapshot, state.settings.retained_log_entries)
        state.history.compact(state.log.base_index)

    def quorum_contact_age_s(self, now: float) -> float:
        """Return the seconds since the last quorum contact, own or reported by the leader.

        Infinite without any quorum contact since the start.
        """
        state = self.state
        if state.leader_state:
            return self.replication.quorum_contact_age_s(state.leader_state, now)
        if state.quorum_contact_at == -math.inf:
            return math.inf
        return max(0.0, now - state.quorum_contact_at)

    def is_stale(self, now: float) -> bool:
        """Return whether the last quorum contact is older than the lease."""
        return self.quorum_contact_age_s(now) > self.state.settings.lease_s


def create_raft_node(
    settings: RaftSettings, restored: RestoredState, rng: random.Random, now: float
) -> RaftNode:
    """Return a node with the state restored from its data folder, at monotonic time `now`."""
    return RaftNode(NodeState(settings, restored, rng, now))
