"""Reads that a quorum confirms."""

from spindle_decisions.consensus.leadership import Leadership
from spindle_decisions.consensus.node_state import NodeState
from spindle_decisions.consensus.pending_read import PendingRead
from spindle_decisions.consensus.read_ready import ReadReady
from spindle_decisions.consensus.replication import Replication


class Reads:
    """Gives each read an index and confirms it by a contact round begun after it."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self.state = state
        self.replication = replication
        self.last_read_id = 0

    def request(self, lead: Leadership) -> int:
        """Note a read and return its id."""
        self.last_read_id += 1
        index = max(self.state.commit_index, lead.first_index)
        lead.reads.append(PendingRead(self.last_read_id, index))
        return self.last_read_id

    def flush(self, lead: Leadership) -> None:
        """Begin one contact round for all reads that came since the last."""
        fresh = [read for read in lead.reads if read.contact_round is None]
        if not fresh:
            return
        self.replication.heartbeat(lead)
        for read in fresh:
            read.contact_round = lead.latest_round
        self.confirm(lead)

    def confirm(self, lead: Leadership) -> None:
        """Hand out the reads whose round a majority answered."""
        while lead.reads and self.is_confirmed(lead, lead.reads[0]):
            read = lead.reads.pop(0)
            self.state.reads_ready.append(ReadReady(read.read_id, read.index))

    def is_confirmed(self, lead: Leadership, read: PendingRead) -> bool:
        """Return whether this node still led after the read had come."""
        if read.contact_round is None:
            return False
        return self.replication.round_confirmed(lead, read.contact_round)
