"""Linearizable reads by the ReadIndex method."""

from spindle_decisions.consensus.confirmed_read import ConfirmedRead
from spindle_decisions.consensus.leader_state import LeaderState
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.pending_read import PendingRead
from spindle_decisions.consensus.replication import Replication


class ReadIndexTracker:
    """Gives each read an index and confirms it by a heartbeat round started after the request."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self.state = state
        self.replication = replication
        self.last_read_id = 0

    def request(self, leader_state: LeaderState) -> int:
        """Add a pending read and return its id."""
        self.last_read_id += 1
        index = max(self.state.commit_index, leader_state.first_index)
        leader_state.pending_reads.append(PendingRead(self.last_read_id, index))
        return self.last_read_id

    def start_round_for_new_reads(self, leader_state: LeaderState) -> None:
        """Start one heartbeat round for all reads that have none yet."""
        new_reads = [read for read in leader_state.pending_reads if read.heartbeat_round is None]
        if not new_reads:
            return
        self.replication.heartbeat(leader_state)
        for read in new_reads:
            read.heartbeat_round = leader_state.latest_heartbeat_round
        self.confirm(leader_state)

    def confirm(self, leader_state: LeaderState) -> None:
        """Move the reads whose heartbeat round a majority answered to the confirmed ones."""
        while leader_state.pending_reads and self.is_confirmed(
            leader_state, leader_state.pending_reads[0]
        ):
            read = leader_state.pending_reads.pop(0)
            self.state.confirmed_reads.append(ConfirmedRead(read.read_id, read.index))

    def is_confirmed(self, leader_state: LeaderState, read: PendingRead) -> bool:
        """Return whether a majority answered the heartbeat round of the read."""
        if read.heartbeat_round is None:
            return False
        return self.replication.is_round_confirmed(leader_state, read.heartbeat_round)
