"""Leader side of replication: entries, heartbeats, snapshots and commit."""

from spindle_decisions.consensus.heartbeat_round import HeartbeatRound
from spindle_decisions.consensus.leader_state import LeaderState
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
)
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.progress import Progress
from spindle_decisions.consensus.progress_mode import ProgressMode


class Replication:
    """Replicates the log to the members and commits what a majority has on disk."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def start(self, first_index: int, granted_by: set[str], campaign_started_at: float) -> None:
        """Set up the leader state of a new term and send the first heartbeats.

        The voters in `granted_by` replied after the campaign started, which counts as
        contact at its start.
        """
        state = self.state
        leader_state = LeaderState(first_index)
        leader_state.heartbeat_rounds.append(HeartbeatRound(0, campaign_started_at))
        state.leader_state = leader_state
        self.track_members(leader_state, first_index)
        for name, progress in leader_state.progress.items():
            if name in granted_by:
                progress.contact_at = campaign_started_at
        self.heartbeat(leader_state)

    def track_members(self, leader_state: LeaderState, next_index: int) -> None:
        """Keep progress for exactly the other members in force; new ones start at `next_index`."""
        state = self.state
        kept: dict[str, Progress] = {}
        for member in state.membership.members:
            if member.name == state.name:
                continue
            known = leader_state.progress.get(member.name)
            if known is None or known.folder_id != member.folder_id:
                known = Progress(member.folder_id, next_index, tracked_since=state.now)
            kept[member.name] = known
        leader_state.progress = kept

    def tick(self, leader_state: LeaderState) -> None:
        """Send due heartbeats, and the commit index to members that lack it."""
        if self.state.now >= leader_state.next_heartbeat_at:
            self.heartbeat(leader_state)
        self.announce_commit(leader_state)

    def heartbeat(self, leader_state: LeaderState) -> None:
        """Start a heartbeat round with all members."""
        state = self.state
        leader_state.next_heartbeat_at = state.now + state.settings.heartbeat_s
        self.start_heartbeat_round(leader_state)
        leader_state.quorum_age_s = self.quorum_contact_age_s(leader_state, state.now)
        for name, progress in leader_state.progress.items():
            progress.paused = False
            self.send_heartbeat_to(leader_state, name, progress)

    def start_heartbeat_round(self, leader_state: LeaderState) -> None:
        """Open the next heartbeat round and drop old ones, which no longer prove contact."""
        state = self.state
        oldest_at = state.now - 2 * state.settings.election_max_s
        while (
            leader_state.heartbeat_rounds
            and leader_state.heartbeat_rounds[0].started_at < oldest_at
            and len(leader_state.heartbeat_rounds) > 1
        ):
            leader_state.heartbeat_rounds.popleft()
        leader_state.heartbeat_rounds.append(
            HeartbeatRound(leader_state.latest_heartbeat_round + 1, state.now)
        )

    def send_heartbeat_to(self, leader_state: LeaderState, name: str, progress: Progress) -> None:
        """Send one member a message that it answers, with entries if it lacks some."""
        if progress.mode is ProgressMode.SNAPSHOT:
            self.send_heartbeat_during_snapshot(leader_state, name, progress)
            return
        if not self.send_more(leader_state, name, progress):
            self.send_append(leader_state, name, progress, with_entries=False)

    def send_heartbeat_during_snapshot(
        self, leader_state: LeaderState, name: str, progress: Progress
    ) -> None:
        """Send an empty heartbeat, or the snapshot again if none was confirmed within the lease."""
        state = self.state
        if state.now - progress.snapshot_sent_at > state.settings.lease_s:
            self.send_snapshot(leader_state, name, progress)
            return
        heartbeat = Append(
            state.name,
            state.folder_id,
            name,
            progress.folder_id,
            state.term,
            prev_index=0,
            prev_term=0,
            commit_index=0,
            contact_round=leader_state.latest_heartbeat_round,
            quorum_age_s=leader_state.quorum_age_s,
        )
        state.outbox.send(heartbeat)

    def send_pending_entries(self, leader_state: LeaderState) -> None:
        """Send the members the entries that they lack, within the in-flight limit of each."""
        leader_state.quorum_age_s = self.quorum_contact_age_s(leader_state, self.state.now)
        for name, progress in leader_state.progress.items():
            while self.send_more(leader_state, name, progress):
                pass

    def announce_commit(self, leader_state: LeaderState) -> None:
        """Send the commit index to members to which no message has announced it yet.

        Without this a member would apply committed entries only after a heartbeat;
        sending it with every commit would cost one message per batch.
        """
        for name, progress in leader_state.progress.items():
            if self.lacks_commit(progress):
                self.send_append(leader_state, name, progress, with_entries=False)

    def lacks_commit(self, progress: Progress) -> bool:
        """Return whether a member holds committed entries whose commit was not announced to it."""
        if progress.mode is not ProgressMode.STREAM:
            return False
        return progress.announced_commit_index < min(self.state.commit_index, progress.match_index)

    def send_more(self, leader_state: LeaderState, name: str, progress: Progress) -> bool:
        """Send one message with entries, or a snapshot; return whether one was sent."""
        state = self.state
        if progress.mode is ProgressMode.SNAPSHOT or progress.paused:
            return False
        if progress.next_index > state.log.last_index:
            return False
        if progress.next_index <= state.log.base_index:
            return self.send_snapshot(leader_state, name, progress)
        in_flight = progress.next_index - 1 - progress.match_index
        if progress.mode is ProgressMode.PROBE:
            progress.paused = True
        elif in_flight >= state.settings.max_inflight_entries:
            return False
        self.send_append(leader_state, name, progress, with_entries=True)
        return True

    def send_append(
        self, leader_state: LeaderState, name: str, progress: Progress, with_entries: bool
    ) -> None:
        """Send entries from the next index on, or a heartbeat without entries.

        Sends a snapshot instead if the log no longer holds the previous entry.
        """
        state = self.state
        prev_index = progress.next_index - 1
        prev_term = state.log.term_at(prev_index)
        if prev_term is None:
            self.send_snapshot(leader_state, name, progress)
            return
        entries: tuple[LogEntry, ...] = ()
        if with_entries:
            entries = state.log.entries_from(progress.next_index, state.settings.max_append_bytes)
        if progress.mode is ProgressMode.STREAM:
            progress.next_index += len(entries)
        message = Append(
            state.name,
            state.folder_id,
            name,
            progress.folder_id,
            state.term,
            prev_index,
            prev_term,
            state.commit_index,
            leader_state.latest_heartbeat_round,
            leader_state.quorum_age_s,
            entries,
        )
        progress.announced_commit_index = state.commit_index
        state.outbox.send(message)

    def send_snapshot(self, leader_state: LeaderState, name: str, progress: Progress) -> bool:
        """Send the newest snapshot, if there is one; return whether it was sent."""
        state = self.state
        snapshot = state.log.snapshot
        if snapshot is None:
            return False
        progress.mode = ProgressMode.SNAPSHOT
        progress.snapshot_sent_at = state.now
        message = InstallSnapshot(
            state.name,
            state.folder_id,
            name,
            progress.folder_id,
            state.term,
            snapshot,
            leader_state.latest_heartbeat_round,
            leader_state.quorum_age_s,
        )
        state.outbox.send(message)
        return True

    def on_append_reply(self, leader_state: LeaderState, message: AppendReply) -> None:
        """Update the progress of a member by its reply to entries or a heartbeat."""
        progress = self.record_contact(leader_state, message)
        if progress is None:
            return
        if not message.success:
            self.back_off_next_index(progress, message)
            return
        self.update_match_index(progress, message.match_index)
        self.advance_commit(leader_state)

    def on_snapshot_reply(self, leader_state: LeaderState, message: InstallSnapshotReply) -> None:
        """Update the progress of a member that has a snapshot on disk."""
        progress = self.record_contact(leader_state, message)
        if progress is None:
            return
        if progress.mode is ProgressMode.SNAPSHOT:
            progress.mode = ProgressMode.PROBE
        self.update_match_index(progress, message.match_index)
        self.advance_commit(leader_state)

    def record_contact(
        self, leader_state: LeaderState, message: AppendReply | InstallSnapshotReply
    ) -> Progress | None:
        """Record contact with a member and return its progress.

        Returns `None` if the sender is no member with that folder.
        """
        progress = leader_state.progress.get(message.sender)
        if progress is None or progress.folder_id != message.sender_folder:
            return None
        progress.acked_heartbeat_round = max(progress.acked_heartbeat_round, message.contact_round)
        started_at = leader_state.heartbeat_round_started_at(message.contact_round)
        if started_at is not None:
            progress.contact_at = max(progress.contact_at, started_at)
        return progress

    def update_match_index(self, progress: Progress, match_index: int) -> None:
        """Raise the match index, and stream entries from there."""
        if match_index > self.state.log.last_index:
            return
        progress.match_index = max(progress.match_index, match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.mode is ProgressMode.SNAPSHOT and match_index < self.state.log.base_index:
            return
        if progress.mode is not ProgressMode.STREAM and match_index + 1 >= progress.next_index:
            progress.mode = ProgressMode.STREAM
        progress.paused = False

    def back_off_next_index(self, progress: Progress, message: AppendReply) -> None:
        """Lower the next index after a rejection, by the hint of the member."""
        state = self.state
        if progress.mode is ProgressMode.SNAPSHOT:
            return
        if message.rejected_index <= progress.match_index:
            return
        if progress.mode is ProgressMode.PROBE and message.rejected_index != (
            progress.next_index - 1
        ):
            return
        common_index = state.log.last_index_with_term_at_most(message.hint_index, message.hint_term)
        if message.hint_index < state.log.base_index:
            common_index = message.hint_index
        progress.mode = ProgressMode.PROBE
        progress.next_index = (
            max(progress.match_index, min(common_index, message.rejected_index - 1)) + 1
        )
        progress.paused = False

    def advance_commit(self, leader_state: LeaderState) -> None:
        """Commit up to the newest entry of the current term that a majority has on disk."""
        state = self.state
        if state.commit_index == state.log.last_index:
            return
        match_indexes = sorted(
            (self.match_index_of(leader_state, name) for name in self.voter_names()), reverse=True
        )
        index = match_indexes[state.quorum - 1]
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index

    def voter_names(self) -> list[str]:
        """Return the names of the voters in force."""
        return [member.name for member in self.state.voters]

    def match_index_of(self, leader_state: LeaderState, name: str) -> int:
        """Return the index up to which a voter has the log on disk."""
        if name == self.state.name:
            return self.state.outbox.persisted_index
        return leader_state.progress[name].match_index

    def last_quorum_contact_at(self, leader_state: LeaderState, now: float) -> float:
        """Return the time of the last contact with a majority of the voters."""
        contact_times = sorted(
            (
                now if name == self.state.name else leader_state.progress[name].contact_at
                for name in self.voter_names()
            ),
            reverse=True,
        )
        return contact_times[self.state.quorum - 1]

    def quorum_contact_age_s(self, leader_state: LeaderState, now: float) -> float:
        """Return the seconds since the last contact with a majority of the voters."""
        return max(0.0, now - self.last_quorum_contact_at(leader_state, now))

    def is_round_confirmed(self, leader_state: LeaderState, number: int) -> bool:
        """Return whether a majority answered a heartbeat round or a later one."""
        acked = {
            name
            for name, progress in leader_state.progress.items()
            if progress.acked_heartbeat_round >= number
        }
        acked.add(self.state.name)
        return self.state.is_quorum(acked)
