"""Actions of callers: proposals and reads."""

from spindle_decisions.exceptions import NotLeaderError
from tests.decisions.consensus.network_actions import NetworkActions


class CallerActions(NetworkActions):
    """Sends proposals and reads to nodes that consider themselves leader."""

    def propose_some(self, count: int) -> None:
        """Propose commands at a random node that considers itself leader."""
        name = self.pick(self.believed_leaders())
        if name is None:
            return
        for _ in range(count):
            self.propose_at(name)
        if self.rng.random() < 0.5:
            self.collect(name)

    def propose_at(self, name: str) -> None:
        self.command_count += 1
        command = b"c%d" % self.command_count
        try:
            position = self[name].node.propose(self.local_now(name), command)
        except NotLeaderError:
            return
        self.checker.proposed[position] = command

    def read_one(self) -> None:
        name = self.pick(self.believed_leaders())
        if name is None:
            return
        try:
            read_id = self[name].node.request_read(self.local_now(name))
        except NotLeaderError:
            return
        self.checker.record_read_request(name, read_id)
        if self.rng.random() < 0.5:
            self.collect(name)
