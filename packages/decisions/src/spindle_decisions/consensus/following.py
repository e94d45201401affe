"""Follower side of replication: entries, heartbeats and snapshots from a leader."""

import logging

from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.consensus.role import Role

_LOGGER = logging.getLogger(__name__)


class FollowerHandler:
    """Handles the messages of a leader and replies to them."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def on_append(self, message: Append) -> None:
        """Append the entries if the log contains the entry before them, otherwise reject them."""
        state = self.state
        entries = message.entries
        prev_index = message.prev_index
        if entries and entries[-1].index != prev_index + len(entries):
            _LOGGER.warning("raft: dropped non-contiguous entries from %s", message.sender)
            return
        if not self.accept_leader(message):
            return
        if prev_index < state.commit_index:
            entries = tuple(entry for entry in entries if entry.index > state.commit_index)
            prev_index = min(state.commit_index, prev_index + len(message.entries))
        elif state.log.term_at(prev_index) != message.prev_term:
            self.reject(message)
            return
        self.append_entries(entries)
        match_index = prev_index + len(entries)
        state.commit_index = max(state.commit_index, min(message.commit_index, match_index))
        self.acknowledge(message, match_index)

    def accept_leader(self, message: Append | InstallSnapshot) -> bool:
        """Follow the sender if it leads the current or a later term; return whether it does."""
        state = self.state
        if message.recipient_folder != state.folder_id:
            self.record_folder_mismatch(message)
            return False
        if message.term < state.term:
            self.reject_stale_leader(message)
            return False
        if message.term == state.term and state.candidacy is Role.LEADER:
            _LOGGER.error("raft: %s claims to lead term %s too", message.sender, state.term)
            state.record_event(RaftEventKind.REFUSED, "second leader in one term", message.sender)
            return False
        if state.leader != message.sender:
            state.record_event(
                RaftEventKind.LEADER_ELECTED, "heard from the leader", message.sender
            )
        state.become_follower(message.term, message.sender, "another node leads")
        state.record_leader_contact(message.quorum_age_s)
        state.removed = False
        state.forced = None
        state.reset_election_deadline()
        return True

    def record_folder_mismatch(self, message: Append | InstallSnapshot) -> None:
        """Record that the leader lists another folder id under the name of this node."""
        state = self.state
        if state.is_blank or message.term < state.term:
            return
        if message.term > state.term or state.candidacy is not Role.LEADER:
            state.record_removal(message.sender)

    def reject_stale_leader(self, message: Append | InstallSnapshot) -> None:
        """Reply to the leader of an earlier term with the current term."""
        state = self.state
        reply = AppendReply(state.name, state.folder_id, message.sender, state.term, False, 0, -1)
        state.outbox.send_after_hard_state(reply)

    def reject(self, message: Append) -> None:
        """Reject entries, with a hint at the newest entry that both logs may contain.

        The hint lets the leader find the last common entry in few round trips.
        """
        state = self.state
        hint_index = state.log.last_index_with_term_at_most(
            message.prev_index - 1, message.prev_term
        )
        reply = AppendReply(
            state.name,
            state.folder_id,
            message.sender,
            state.term,
            False,
            0,
            message.contact_round,
            message.prev_index,
            hint_index,
            state.log.term_at(hint_index) or 0,
        )
        state.outbox.send_after_hard_state(reply)

    def append_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Append the entries that the log lacks, after truncating a conflicting suffix."""
        state = self.state
        for entry in entries:
            if state.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= state.log.last_index:
                state.truncate(entry.index)
            state.append(entry)

    def acknowledge(self, message: Append, match_index: int) -> None:
        """Acknowledge entries after their sync, and a heartbeat at once up to the synced index."""
        state = self.state
        if message.entries:
            reply = self.success_reply(message, match_index)
            state.outbox.send_after_sync(reply)
            return
        reply = self.success_reply(message, min(match_index, state.outbox.persisted_index))
        state.outbox.send_after_hard_state(reply)

    def success_reply(self, message: Append, match_index: int) -> AppendReply:
        """Return the reply that acknowledges the log up to `match_index`."""
        state = self.state
        return AppendReply(
            state.name,
            state.folder_id,
            message.sender,
            state.term,
            True,
            match_index,
            message.contact_round,
        )

    def on_install_snapshot(self, message: InstallSnapshot) -> None:
        """Apply a snapshot beyond the commit index and reply with the matching index."""
        state = self.state
        if not self.accept_leader(message):
            return
        snapshot = message.snapshot
        if snapshot.index > state.commit_index:
            self.apply_snapshot(message)
        match_index = min(snapshot.index, state.commit_index)
        reply = InstallSnapshotReply(
            state.name,
            state.folder_id,
            message.sender,
            state.term,
            match_index,
            message.contact_round,
        )
        state.outbox.send_after_sync(reply)

    def apply_snapshot(self, message: InstallSnapshot) -> None:
        """Commit up to the snapshot.

        The log is kept if it contains the last entry of the snapshot, otherwise replaced.
        """
        state = self.state
        snapshot = message.snapshot
        if state.log.term_at(snapshot.index) == snapshot.term:
            state.commit_index = snapshot.index
            return
        state.install_snapshot(snapshot)
        state.record_event(
            RaftEventKind.SNAPSHOT_TAKEN,
            f"took the snapshot at index {snapshot.index}",
            message.sender,
        )
