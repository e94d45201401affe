"""Benchmark of the decision cost: `python -m tests.decisions.consensus.cost`."""

import time

from spindle_decisions.consensus.messages import Append, AppendReply
from tests.decisions.consensus.common import TICK_S, Cluster, create_cluster

ROUNDS = 2000
ENTRY_BYTES = 200
IDLE_DURATION_S = 60.0
FAILOVER_COUNT = 200


class TimedCluster(Cluster):
    """Measures the time that nodes spend on each kind of message."""

    spent_s: dict[type, float]
    calls: dict[type, int]

    def deliver(self, message: object) -> None:
        kind = type(message)
        node = self.instances[message.recipient].node  # type: ignore[attr-defined]
        started_at = time.perf_counter()
        node.receive(self.now, message)  # type: ignore[arg-type]
        self.spent_s[kind] = self.spent_s.get(kind, 0.0) + time.perf_counter() - started_at
        self.calls[kind] = self.calls.get(kind, 0) + 1
        self.collect(message.recipient)  # type: ignore[attr-defined]


def measure(size: int, batch: int) -> str:
    """Return the cost per message and entry for a cluster size and a batch size."""
    cluster = create_cluster(size)
    cluster.__class__ = TimedCluster
    timed: TimedCluster = cluster  # type: ignore[assignment]
    timed.spent_s, timed.calls = {}, {}
    node = cluster[cluster.elect()].node
    data = b"x" * ENTRY_BYTES
    timed.spent_s.clear()
    timed.calls.clear()
    proposing_s = polling_s = 0.0
    for round_number in range(ROUNDS):
        started_at = time.perf_counter()
        for _ in range(batch):
            node.propose(cluster.now, data)
        proposed_at = time.perf_counter()
        ready = node.poll()
        polling_s += time.perf_counter() - proposed_at
        proposing_s += proposed_at - started_at
        leader = cluster[node.leader or ""]
        leader.syncing = ready.batch
        leader.sync(cluster.now)
        cluster.network.extend(ready.messages)
        cluster.settle()
        if round_number % 200 == 199:
            for name in cluster.names:
                cluster[name].take_snapshot()
                cluster[name].applied.clear()
    append_us = 1e6 * timed.spent_s[Append] / timed.calls[Append]
    ack_us = 1e6 * timed.spent_s[AppendReply] / timed.calls[AppendReply]
    leader_us = 1e6 * (proposing_s + polling_s + timed.spent_s[AppendReply]) / (ROUNDS * batch)
    return (
        f"members {size}, {batch} entries a batch: propose"
        f" {1e6 * proposing_s / ROUNDS / batch:.1f} us an entry,"
        f" leader poll {1e6 * polling_s / ROUNDS:.1f} us, append {append_us:.1f} us,"
        f" ack {ack_us:.1f} us, leader in all {leader_us:.1f} us an entry"
    )


def measure_idle(size: int) -> str:
    """Return the mean share of a core that an idle node uses."""
    cluster = create_cluster(size)
    cluster.elect()
    started_at = time.process_time()
    cluster.run(IDLE_DURATION_S)
    share = (time.process_time() - started_at) / IDLE_DURATION_S / size
    return f"members {size}, idle: {100 * share:.3f} % of a core a node, test network included"


def measure_failover(size: int) -> str:
    """Return how long after the loss of a leader the next one is elected, in node time."""
    waits: list[float] = []
    for seed in range(FAILOVER_COUNT):
        cluster = create_cluster(size, seed=seed * 10)
        cluster.run(2.0 + seed / 100)
        cluster.down.add(cluster.elect())
        lost_at = cluster.now
        while not cluster.leader():
            cluster.run(TICK_S)
        waits.append(cluster.now - lost_at)
    waits.sort()
    return (
        f"members {size}, leader lost: next one after"
        f" {waits[FAILOVER_COUNT // 2]:.2f} s in the median,"
        f" {waits[-1]:.2f} s at most of {FAILOVER_COUNT}"
    )


def main() -> None:
    """Print decision cost, idle cost and failover time for 3 and 7 members."""
    for size in (3, 7):
        for batch in (1, 64):
            print(measure(size, batch))
        print(measure_idle(size))
        print(measure_failover(size))


if __name__ == "__main__":
    main()
