"""Load on one instance without a network: gathers, their attempts and answers in virtual time."""

import heapq
import itertools
from collections.abc import Callable

from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.gather_outcome import GatherOutcome
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


class GatherLoad:
    """Runs gathers in virtual time; each upstream answers after `work_s`, or never.

    An upstream runs as many requests at a time as it has slots and queues the others.
    """

    def __init__(
        self, state: RoutingState, route: Route, work_s: float, silent: frozenset[str] = frozenset()
    ) -> None:
        self.state = state
        self.route = route
        self.work_s = work_s
        self.silent = silent
        self.now = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.slots_free_at: dict[str, list[float]] = {}
        self.attempt_count = 0
        # Outcome, time taken and time of arrival of each gather that has ended.
        self.ended: list[tuple[GatherOutcome, float, float]] = []

    def arrive(self, at: float, limit_s: float = 0.5) -> None:
        """Let a gather arrive."""
        self._schedule(at, lambda: self._start(limit_s))

    def run(self, max_events: int = 200_000) -> None:
        """Run until nothing is left to do; raise `RuntimeError` if a gather never waits."""
        for _ in range(max_events):
            if not self.events:
                return
            self.now, _, event = heapq.heappop(self.events)
            event()
        raise RuntimeError("the gathers do not end")

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, next(self.order), event))

    def _start(self, limit_s: float) -> None:
        started = self.now
        is_ended = False

        def check_ended() -> None:
            nonlocal is_ended
            if gather.outcome is not None and not is_ended:
                is_ended = True
                gather.close()
                self.ended.append((gather.outcome, self.now - started, started))

        def send(attempts: list[UpstreamAttempt]) -> None:
            for attempt in attempts:
                self._send(gather, attempt, check_ended)
            check_ended()
            if gather.outcome is None:
                self._schedule(gather.next_tick_at(), tick)

        def tick() -> None:
            if gather.outcome is None:
                send(gather.tick(self.now))

        gather = GatherExecution(
            self.route, self.state, started, limit_s, lambda: self._schedule(self.now, tick)
        )
        send(gather.start(started))

    def _send(
        self, gather: GatherExecution, attempt: UpstreamAttempt, check_ended: Callable[[], None]
    ) -> None:
        self.attempt_count += 1
        replica = attempt.replica
        replica.record_sent(attempt.attempt_id, self.now)
        if replica.upstream_id in self.silent:
            return
        free_at = self.slots_free_at.setdefault(replica.upstream_id, [0.0] * replica.listed.slots)
        done_at = max(self.now, heapq.heappop(free_at)) + self.work_s
        heapq.heappush(free_at, done_at)

        def answer() -> None:
            replica.record_finished(attempt.attempt_id)
            self.state.replicas.connection_queue.notify(replica.listed.service)
            if gather.outcome is None:
                gather.on_response(attempt.attempt_id, "part", self.now)
                check_ended()

        self._schedule(done_at, answer)
