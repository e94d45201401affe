"""State shared by the components of a node."""

import logging
import math
import random

from spindle_decisions.consensus.confirmed_read import ConfirmedRead
from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.hard_state import HardState
from spindle_decisions.consensus.leader_state import LeaderState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_history import MembershipHistory
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.outbox import Outbox
from spindle_decisions.consensus.raft_event import RaftEvent
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.consensus.raft_log import RaftLog
from spindle_decisions.consensus.restored_state import RestoredState
from spindle_decisions.consensus.role import Role
from spindle_decisions.consensus.settings import RaftSettings
from spindle_decisions.consensus.snapshot import Snapshot

_LOGGER = logging.getLogger(__name__)


class NodeState:
    """Term, log, membership, role and outbox of a node, with the updates that components share.

    `candidacy` is `PRE_CANDIDATE`, `CANDIDATE` or `LEADER` while the node has that
    role, otherwise `None`. `forced` is a membership that an operator forced and that
    no leader has appended to the log yet. `known_peers` are control instances
    discovered since the start, in addition to the peers of the settings.
    """

    def __init__(
        self, settings: RaftSettings, restored: RestoredState, rng: random.Random, now: float
    ) -> None:
        self.settings = settings
        self.name = settings.name
        self.folder_id = restored.folder_id
        self.rng = rng
        self.now = now
        self.started_at = now
        self.resumed_at = -math.inf
        self.term = restored.hard_state.term
        self.vote = restored.hard_state.vote
        self.log = RaftLog()
        self.history = MembershipHistory()
        self.load_log(restored)
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.outbox = Outbox(self.log.last_index)
        self.restore_term()
        self.candidacy: Role | None = None
        self.leader: str | None = None
        self.leader_contact_at = -math.inf
        self.quorum_contact_at = -math.inf
        self.election_deadline = 0.0
        self.leader_state: LeaderState | None = None
        self.removed = False
        self.forced: MembershipSet | None = None
        self.forced_reason = ""
        self.forced_until = 0.0
        self.cached_voters_membership: MembershipSet | None = None
        self.cached_voters: tuple[Member, ...] = ()
        self.known_peers: frozenset[str] = frozenset()
        self.events: list[RaftEvent] = []
        self.confirmed_reads: list[ConfirmedRead] = []
        self.restore: Snapshot | None = None
        self.reset_election_deadline()
        if settings.quick_start:
            self.election_deadline = now + rng.uniform(0.1, 0.5) * settings.election_min_s

    def load_log(self, restored: RestoredState) -> None:
        """Load log and membership history from the content of the data folder."""
        if restored.snapshot:
            self.log.reset(restored.snapshot)
            self.history.reset(restored.snapshot)
        for entry in restored.entries:
            if entry.index <= self.log.base_index:
                continue
            self.log.append(entry)
            self.history.append(entry)

    def restore_term(self) -> None:
        """Raise the term to that of the last log entry.

        After a crash the log on disk may be ahead of the hard state.
        """
        if self.log.last_term > self.term:
            self.enter_term(self.log.last_term, "")

    @property
    def membership(self) -> MembershipSet:
        """Return the forced membership if there is one, otherwise the latest in the log."""
        return self.forced or self.history.latest.membership

    @property
    def own_member(self) -> Member | None:
        """Return this node as a member, `None` if its folder is not a member."""
        return self.find_member(self.name, self.folder_id)

    @property
    def is_blank(self) -> bool:
        """Return whether this node knows no membership."""
        return not self.membership.members

    @property
    def is_voter(self) -> bool:
        """Return whether this node is a voter in the membership in force."""
        return self.own_member is not None and self.own_member.voter

    @property
    def role(self) -> Role:
        """Return the current role."""
        if self.candidacy:
            return self.candidacy
        if self.is_blank:
            return Role.BLANK
        return Role.FOLLOWER if self.is_voter else Role.LEARNER

    @property
    def voters(self) -> tuple[Member, ...]:
        """Return the voters in force; cached per membership."""
        membership = self.membership
        if membership is not self.cached_voters_membership:
            self.cached_voters_membership = membership
            self.cached_voters = membership.voters()
        return self.cached_voters

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find_member(self, name: str, folder_id: str) -> Member | None:
        """Return the member with that name and folder, or `None`."""
        member = self.membership.find(name)
        if member is None or member.folder_id != folder_id:
            return None
        return member

    def is_quorum(self, names: set[str]) -> bool:
        """Return whether the named members include a majority of the voters."""
        votes = sum(1 for member in self.voters if member.name in names)
        return votes >= self.quorum

    def has_recent_leader_contact(self) -> bool:
        """Return whether this node leads or had leader contact within `election_min_s`.

        Votes are refused meanwhile, so that they don't disrupt a working leader.
        """
        if self.candidacy is Role.LEADER:
            return True
        return self.now - self.leader_contact_at < self.settings.election_min_s

    def advance_clock(self, now: float) -> None:
        """Set the current time, and record a jump as the end of a process suspension."""
        if now - self.now > self.settings.election_min_s:
            self.resumed_at = now
        self.now = max(self.now, now)

    def record_leader_contact(self, quorum_age_s: float) -> None:
        """Record contact with a leader whose last quorum contact is `quorum_age_s` old.

        Messages that queued up while the process was suspended have an unknown age.
        Within `election_min_s` after a suspension, messages don't count as quorum contact.
        """
        self.leader_contact_at = self.now
        if self.now - self.resumed_at < self.settings.election_min_s:
            return
        contact_at = self.now - max(0.0, quorum_age_s)
        self.quorum_contact_at = max(self.quorum_contact_at, contact_at)

    def reset_election_deadline(self) -> None:
        """Set the election deadline to a random time from now, within the configured range."""
        low = self.settings.election_min_s
        high = self.settings.election_max_s
        self.election_deadline = self.now + self.rng.uniform(low, high)

    def enter_term(self, term: int, vote: str) -> None:
        """Set term and vote, persisted with the next batch; dependent messages wait for it."""
        self.term = term
        self.vote = vote
        self.outbox.set_hard_state(HardState(term, vote))

    def become_follower(self, term: int, leader: str | None, reason: str) -> None:
        """Become a follower in `term`, which is never below the current term."""
        if self.candidacy is Role.LEADER:
            self.clear_leader_state(reason)
        if term > self.term:
            self.enter_term(term, "")
        self.candidacy = None
        self.leader = leader

    def record_removal(self, peer: str) -> None:
        """Record that a member reported this folder as removed from the membership.

        The node stops campaigning and requests to join again.
        """
        self.become_follower(self.term, None, "removed from the membership")
        if self.removed:
            return
        self.removed = True
        self.record_event(RaftEventKind.REFUSED, "this folder is no longer a member", peer)

    def clear_leader_state(self, reason: str) -> None:
        """Drop the leader state, including pending and confirmed reads."""
        self.leader_state = None
        self.confirmed_reads = []
        _LOGGER.info("raft: lost leadership in term %s: %s", self.term, reason)
        self.record_event(RaftEventKind.LEADER_LOST, reason, self.name)

    def append_as_leader(self, kind: EntryKind, data: bytes) -> LogEntry:
        """Append a new entry of the current term as its leader."""
        entry = LogEntry(self.log.last_index + 1, self.term, kind, data)
        self.append(entry)
        return entry

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log, the membership history and the next batch."""
        self.log.append(entry)
        self.history.append(entry)
        self.outbox.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at `index` and all after it from the log."""
        self.log.truncate(index)
        self.history.truncate(index)
        self.outbox.truncate(index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace log and membership by a snapshot."""
        self.log.reset(snapshot)
        self.history.reset(snapshot)
        self.outbox.install_snapshot(snapshot)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index

    def record_event(self, kind: RaftEventKind, reason: str, peer: str = "") -> None:
        """Add an event of the current term to the output of the next poll."""
        self.events.append(RaftEvent(kind, self.term, reason, peer))
