"""Timers for the shards of a query."""

import heapq
import math

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.query_shard_state import QueryShardState


class ShardTimers:
    """A queue of timers in order of time; the caller skips those of settled shards."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueryShardState, AttemptKind]] = []
        self.sequence = 0

    @property
    def next_at(self) -> float:
        """When the next timer is due, in monotonic seconds; infinity if there is none."""
        return self.heap[0][0] if self.heap else math.inf

    def schedule(self, at: float, shard: QueryShardState, kind: AttemptKind) -> None:
        """Schedule a timer at which a sub-request of this kind is considered for the shard."""
        self.sequence += 1
        heapq.heappush(self.heap, (at, self.sequence, shard, kind))

    def take_due(self, now: float) -> tuple[QueryShardState, AttemptKind] | None:
        """Remove and return a timer that is due, or return `None`."""
        if self.next_at > now:
            return None
        _, _, shard, kind = heapq.heappop(self.heap)
        return shard, kind

    def clear(self) -> None:
        """Remove all timers."""
        self.heap.clear()
