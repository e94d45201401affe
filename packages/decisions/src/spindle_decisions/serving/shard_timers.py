"""What is to be done for the shards of a query at later times."""

import heapq
import math

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.query_shard_state import QueryShardState


class ShardTimers:
    """Timers in order of their time; those of settled shards are passed over when due."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueryShardState, AttemptKind]] = []
        self.sequence = 0

    @property
    def next_at(self) -> float:
        """When the next timer is due, in monotonic seconds; infinite without one."""
        return self.heap[0][0] if self.heap else math.inf

    def schedule(self, at: float, shard: QueryShardState, kind: AttemptKind) -> None:
        """Have a sub-request of this kind considered for the shard at a time."""
        self.sequence += 1
        heapq.heappush(self.heap, (at, self.sequence, shard, kind))

    def take_due(self, now: float) -> tuple[QueryShardState, AttemptKind] | None:
        """Take one timer that is due, if any."""
        if self.next_at > now:
            return None
        _, _, shard, kind = heapq.heappop(self.heap)
        return shard, kind

    def clear(self) -> None:
        """Drop all timers."""
        self.heap.clear()
