"""Carrying out a gathered request."""

from spindle_daemon.components.routed.attempt_pool import AttemptPool
from spindle_daemon.components.routed.attempt_result import AttemptResult
from spindle_daemon.components.routed.gather_response import (
    create_gather_refusal,
    create_gather_response,
)
from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.reply_classifier import ReplyClass
from spindle_daemon.components.routed.routed_response import RoutedResponse
from spindle_daemon.components.routed.time_left import time_left_s
from spindle_decisions.exceptions import OverloadedError
from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.records import merge_top_records
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


class GatherRunner:
    """Carries out what a `Gather` decides and merges the parts."""

    def __init__(self, crew: AttemptPool, book: RoutingState, route: Route) -> None:
        self.crew = crew
        self.route = route
        now = crew.clock.now()
        limit_s = time_left_s(crew.request, route, now)
        self.gather = GatherExecution(route, book, now, limit_s)

    def run(self) -> RoutedResponse | None:
        """Return the answer, `None` if the caller left; raises `RefusalError`."""
        self._run()
        return None if self.crew.left else self._answer()

    def run_part(self) -> OwnerResponse:
        """Return what the shards of this route brought for another instance to merge."""
        self._run()
        names = self.crew.sender.names
        parts = self._parts()
        signatures = tuple(part.values[names.signature] for part in parts)
        return OwnerResponse(signatures, self._records(parts))

    def _run(self) -> None:
        gather, clock = self.gather, self.crew.clock
        self._send(gather.start(clock.now()))
        while gather.outcome is None and not self.crew.left:
            for result in self.crew.wait(gather.next_tick_at()):
                self._take(result)
            if gather.outcome is None:
                self._send(gather.tick(clock.now()))
        if not self.crew.left:
            self.crew.linger()

    def _send(self, sends: list[UpstreamAttempt]) -> None:
        for send in sends:
            self.crew.send(send, self.gather.end_at, self.gather.median_latency, repeatable=True)

    def _take(self, result: AttemptResult) -> None:
        now = self.crew.clock.now()
        token = result.send.attempt_id
        if result.meaning is ReplyClass.GOOD:
            self.gather.on_response(token, result.reply, now)
            return
        self.crew.record.failed(result)
        self._send(self.gather.on_failure(token, now, result.unsent))

    def _answer(self) -> RoutedResponse:
        end = self.gather.outcome
        assert end is not None
        parts = self._parts()
        shards = self.gather.shards
        self.crew.record.gathered(end.reason, len(parts), len(shards))
        self.crew.record.unsent = [shard.service for shard in shards if not shard.tried_replicas]
        if end.answered:
            return self._merged(parts)
        if not self.crew.record.sends:
            raise OverloadedError("no upstream may be used now")
        raise create_gather_refusal(end.reason)

    def _parts(self) -> list[RawReply]:
        shards = self.gather.shards
        return [shard.part for shard in shards if isinstance(shard.part, RawReply)]

    def _records(self, parts: list[RawReply]) -> bytes:
        return merge_top_records([part.body for part in parts], self.route.top_records)

    def _merged(self, parts: list[RawReply]) -> RoutedResponse:
        names = self.crew.sender.names
        signatures = [part.values[names.signature] for part in parts]
        missing = len(self.gather.shards) - len(parts)
        request_id = self.crew.request.sent.request_id
        return create_gather_response(names, request_id, signatures, missing, self._records(parts))
