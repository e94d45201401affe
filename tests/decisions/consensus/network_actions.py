"""Actions on time and messages."""

from spindle_decisions.consensus.messages import RaftMessage
from tests.decisions.consensus.checked_cluster import CheckedCluster
from tests.decisions.consensus.common import TICK_S


class NetworkActions(CheckedCluster):
    """Message loss, delay, duplication, reordering and partitions."""

    def run_for(self, seconds: float) -> None:
        """Advance the time in steps, with message delivery and syncs under the current faults."""
        stop = self.now + seconds
        while self.now < stop:
            self.now += TICK_S
            self.tick_all()
            self.deliver_with_delay(len(self.network))
            for name in self.running():
                if self.rng.random() >= self.sync_delay:
                    self.sync(name)

    def tick_all(self) -> None:
        for name in self.running():
            self[name].node.tick(self.local_now(name))
            self.collect(name)

    def advance(self, seconds: float) -> None:
        """Advance the time in one jump, without message delivery."""
        self.now += seconds
        self.tick_all()

    def deliver_some(self, count: int) -> None:
        """Deliver the oldest messages in order."""
        batch, self.network = self.network[:count], self.network[count:]
        for message in batch:
            if self.rng.random() >= self.loss:
                self.deliver(message)

    def deliver_with_delay(self, count: int) -> None:
        """Deliver the oldest messages, except those held back by the current delay."""
        on_time: list[RaftMessage] = []
        delayed: list[RaftMessage] = []
        for message in self.network[:count]:
            (delayed if self.rng.random() < self.message_delay else on_time).append(message)
        self.network[:count] = on_time
        self.deliver_some(len(on_time))
        self.network.extend(delayed)

    def deliver_one(self) -> None:
        """Deliver a random message, possibly out of order."""
        if self.network:
            self.deliver(self.network.pop(self.rng.randrange(len(self.network))))

    def drop_one(self) -> None:
        if self.network:
            self.network.pop(self.rng.randrange(len(self.network)))

    def duplicate_one(self) -> None:
        if self.network:
            copy = self.rng.choice(self.network)
            self.network.insert(self.rng.randrange(len(self.network) + 1), copy)

    def set_faults(self, loss: float, message_delay: float, sync_delay: float) -> None:
        """Set the probabilities of message loss, message delay and sync delay."""
        self.loss = loss
        self.message_delay = message_delay
        self.sync_delay = sync_delay

    def cut_one_way(self) -> None:
        self.cuts.add((self.rng.choice(self.names), self.rng.choice(self.names)))

    def isolate(self) -> None:
        self.cut_off(self.rng.choice(self.names))

    def isolate_leader(self) -> None:
        """Isolate a random node that considers itself leader."""
        name = self.pick(self.believed_leaders())
        if name:
            self.cut_off(name)

    def split(self) -> None:
        """Partition the instances into two random groups."""
        self.cuts.clear()
        first_group = {name for name in self.names if self.rng.random() < 0.5}
        for name in first_group:
            for other in set(self.names) - first_group:
                self.cuts.update({(name, other), (other, name)})
