"""The state that the parts of a node share."""

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
    """Term, log, membership, role and outbox of a node, with the changes all parts need.

    `candidacy` is `PRE_CANDIDATE`, `CANDIDATE` or `LEADER` while the node is one
    of them and `None` otherwise. `forced` is a membership that an operator imposed
    and that no leader has put into the log yet. `other_peers` are control instances
    that were met since the start, beside those of the settings.
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
        """Fill log and membership history from the data folder."""
        if restored.snapshot:
            self.log.reset(restored.snapshot)
            self.history.reset(restored.snapshot)
        for entry in restored.entries:
            if entry.index <= self.log.base_index:
                continue
            self.log.append(entry)
            self.history.append(entry)

    def restore_term(self) -> None:
        """Be in no earlier term than the log, which a crash may have left ahead."""
        if self.log.last_term > self.term:
            self.enter_term(self.log.last_term, "")

    @property
    def membership(self) -> MembershipSet:
        """Return the membership in force for this node."""
        return self.forced or self.history.latest.membership

    @property
    def own_member(self) -> Member | None:
        """Return this node as a member, `None` if its folder is not in the membership."""
        return self.find_member(self.name, self.folder_id)

    @property
    def is_blank(self) -> bool:
        """Return whether this node knows no membership."""
        return not self.membership.members

    @property
    def is_voter(self) -> bool:
        """Return whether this node votes in the membership that it knows."""
        return self.own_member is not None and self.own_member.voter

    @property
    def role(self) -> Role:
        """Return the present role."""
        if self.candidacy:
            return self.candidacy
        if self.is_blank:
            return Role.BLANK
        return Role.FOLLOWER if self.is_voter else Role.LEARNER

    @property
    def voters(self) -> tuple[Member, ...]:
        """Return the voters in force; they are worked out once for each membership."""
        membership = self.membership
        if membership is not self.cached_voters_membership:
            self.cached_voters_membership = membership
            self.cached_voters = membership.voters()
        return self.cached_voters

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1

    def find_member(self, name: str, folder_id: str) -> Member | None:
        """Return the member of that name if it has that folder."""
        member = self.membership.find(name)
        if member is None or member.folder_id != folder_id:
            return None
        return member

    def is_quorum(self, names: set[str]) -> bool:
        """Return whether the named members hold a majority of the votes."""
        votes = sum(1 for member in self.voters if member.name in names)
        return votes >= self.quorum

    def has_recent_leader_contact(self) -> bool:
        """Return whether a vote for another node would disturb a leader that works."""
        if self.candidacy is Role.LEADER:
            return True
        return self.now - self.leader_contact_at < self.settings.election_min_s

    def advance_clock(self, now: float) -> None:
        """Set the time, and note when the process seems to have stood still."""
        if now - self.now > self.settings.election_min_s:
            self.resumed_at = now
        self.now = max(self.now, now)

    def record_leader_contact(self, quorum_age_s: float) -> None:
        """Note word from a leader whose own contact with a quorum is that old.

        Right after a standstill the messages that waited meanwhile come in, and
        their age is unknown, so for a while they prove no quorum.
        """
        self.leader_contact_at = self.now
        if self.now - self.resumed_at < self.settings.election_min_s:
            return
        contact_at = self.now - max(0.0, quorum_age_s)
        self.quorum_contact_at = max(self.quorum_contact_at, contact_at)

    def reset_election_deadline(self) -> None:
        """Wait anew, a random time, before asking for an election."""
        low = self.settings.election_min_s
        high = self.settings.election_max_s
        self.election_deadline = self.now + self.rng.uniform(low, high)

    def enter_term(self, term: int, vote: str) -> None:
        """Set term and vote; messages that rest on them wait for the sync."""
        self.term = term
        self.vote = vote
        self.outbox.set_hard_state(HardState(term, vote))

    def become_follower(self, term: int, leader: str | None, reason: str) -> None:
        """Follow in `term`, which is never below the present one."""
        if self.candidacy is Role.LEADER:
            self.clear_leader_state(reason)
        if term > self.term:
            self.enter_term(term, "")
        self.candidacy = None
        self.leader = leader

    def record_removal(self, peer: str) -> None:
        """Stop campaigning, as a member knows that this folder is none, and ask to be taken in."""
        self.become_follower(self.term, None, "removed from the membership")
        if self.removed:
            return
        self.removed = True
        self.record_event(RaftEventKind.REFUSED, "this folder is no longer a member", peer)

    def clear_leader_state(self, reason: str) -> None:
        """Drop what belongs to the leadership; waiting reads go with it."""
        self.leader_state = None
        self.confirmed_reads = []
        _LOGGER.info("raft: lost leadership of term %s, %s", self.term, reason)
        self.record_event(RaftEventKind.LEADER_LOST, reason, self.name)

    def append_as_leader(self, kind: EntryKind, data: bytes) -> LogEntry:
        """Append an entry of the present term as its leader."""
        entry = LogEntry(self.log.last_index + 1, self.term, kind, data)
        self.append(entry)
        return entry

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log and to the next batch."""
        self.log.append(entry)
        self.history.append(entry)
        self.outbox.append(entry)

    def truncate(self, index: int) -> None:
        """Cut off the log from `index` on."""
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
        """Put an event on the time line."""
        self.events.append(RaftEvent(kind, self.term, reason, peer))
