"""Hands committed entries to the state machine."""

from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.raft_event_kind import RaftEventKind


class CommittedEntries:
    """Hands out each entry once, when it is committed and synced to the local disk."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def take_committed(self) -> tuple[LogEntry, ...]:
        """Return the entries that may be applied now, in log order, and mark them applied."""
        state = self.state
        last = min(state.commit_index, state.outbox.persisted_index)
        if last <= state.applied_index:
            return ()
        entries = state.log.entries_between(state.applied_index + 1, last)
        state.applied_index = last
        for entry in entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                self.on_membership_committed(entry)
        return entries

    def on_membership_committed(self, entry: LogEntry) -> None:
        """Record a committed membership, and step down if this node is not a voter in it."""
        state = self.state
        members = ", ".join(
            member.name if member.voter else f"{member.name} (learner)"
            for member in state.history.at(entry.index).membership.members
        )
        state.record_event(RaftEventKind.MEMBERS_CHANGED, f"members are {members}")
        if state.leader_state and not state.is_voter:
            state.become_follower(state.term, None, "removed from the membership")
