"""Runner of scatter-gather requests."""

from collections.abc import Callable

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
from spindle_decisions.routing.const import (
    MIN_SHARDS_WITHOUT_UNPROVEN_EXTRAS,
    OWNER_REPLY_MARGIN_S,
    RESPONSE_MARGIN_S,
    UNPROVEN_EXTRA_ATTEMPTS,
)
from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.records import merge_top_records
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


class GatherRunner:
    """Sends the attempts of a `GatherExecution` and merges the parts."""

    def __init__(
        self,
        attempt_pool: AttemptPool,
        routing_state: RoutingState,
        route: Route,
        is_for_owner: bool = False,
    ) -> None:
        self.attempt_pool = attempt_pool
        self.stopped = False
        self.route = route
        now = attempt_pool.clock.now()
        limit_s = time_left_s(attempt_pool.request, route, now)
        has_many_shards = len(route.shards) >= MIN_SHARDS_WITHOUT_UNPROVEN_EXTRAS
        self.gather = GatherExecution(
            route,
            routing_state,
            now,
            limit_s,
            attempt_pool.wake.set,
            ends_at_aim=not is_for_owner,
            margin_s=OWNER_REPLY_MARGIN_S if is_for_owner else RESPONSE_MARGIN_S,
            max_unproven_extras=(
                0 if is_for_owner and has_many_shards else UNPROVEN_EXTRA_ATTEMPTS
            ),
        )

    def run(self) -> RoutedResponse | None:
        """Return the answer, `None` if the caller disconnected; raises `RefusalError`."""
        self._run()
        return None if self.attempt_pool.caller_gone else self._answer()

    def run_for_owner(self, respond: Callable[[OwnerResponse], None]) -> None:
        """Respond with the merged parts of this route's shards, for another instance to merge.

        The first response comes when no further part can arrive, at the aim at the latest.
        Parts that arrive after that are sent as they come, until `stop` is called.
        """
        self._run(respond)

    def end_by(self, at: float) -> None:
        """Answer at `at` at the latest."""
        self.gather.end_at = min(self.gather.end_at, at)
        self.attempt_pool.wake.set()

    def stop(self) -> None:
        """End the request, as its parts are no longer needed."""
        self.stopped = True
        self.attempt_pool.wake.set()

    def _run(self, respond: Callable[[OwnerResponse], None] | None = None) -> None:
        gather, clock = self.gather, self.attempt_pool.clock
        if self.stopped:
            return
        self._start_attempts(gather.start(clock.now()))
        sent: set[int] = set()
        responses = 0
        while gather.outcome is None and not self.attempt_pool.caller_gone and not self.stopped:
            next_at = gather.next_tick_at()
            if respond is not None and not responses:
                next_at = min(next_at, gather.aim_at)
            for result in self.attempt_pool.wait(next_at):
                self._on_result(result)
            if gather.outcome is None:
                self._start_attempts(gather.tick(clock.now()))
            if respond is None or gather.outcome is not None or clock.now() < gather.aim_at:
                continue
            if not responses or self._has_new_parts(sent):
                respond(self._owner_response(sent, responses, more=True))
                responses += 1
        gather.close()
        if respond is not None and not self.stopped:
            respond(self._owner_response(sent, responses, more=False))
        if not self.attempt_pool.caller_gone:
            self.attempt_pool.cancel_after_grace()

    def _has_new_parts(self, sent: set[int]) -> bool:
        return len(self.gather.shards) - self.gather.missing > len(sent)

    def _owner_response(self, sent: set[int], number: int, more: bool) -> OwnerResponse:
        """Return the parts that are not in `sent`, and add them to it."""
        new = {
            index: shard.part
            for index, shard in enumerate(self.gather.shards)
            if index not in sent and isinstance(shard.part, RawReply)
        }
        sent.update(new)
        parts = list(new.values())
        names = self.attempt_pool.upstream_client.header_names
        signatures = tuple(part.header_values[names.signature] for part in parts)
        return OwnerResponse(signatures, self._records(parts), more, number)

    def _start_attempts(self, attempts: list[UpstreamAttempt]) -> None:
        for attempt in attempts:
            self.attempt_pool.start_attempt(
                attempt, self.gather.end_at, self.gather.median_latency, retryable=True
            )

    def _on_result(self, result: AttemptResult) -> None:
        now = self.attempt_pool.clock.now()
        attempt_id = result.attempt.attempt_id
        if result.reply_class is ReplyClass.GOOD:
            self.gather.on_response(attempt_id, result.reply, now)
            return
        self.attempt_pool.trace.record_failure(result)
        self._start_attempts(
            self.gather.on_failure(attempt_id, now, result.not_sent, result.is_not_run())
        )

    def _answer(self) -> RoutedResponse:
        outcome = self.gather.outcome
        assert outcome is not None
        parts = self._parts()
        shards = self.gather.shards
        self.attempt_pool.trace.record_gather_outcome(outcome.reason, len(parts), len(shards))
        self.attempt_pool.trace.not_sent_shards = [
            shard.service for shard in shards if shard.given_up and not shard.tried_replicas
        ]
        now = self.attempt_pool.clock.now()
        self.attempt_pool.trace.limited_shard_count = sum(
            shard.given_up and self.gather.state.replicas.is_service_rate_limited(name, now)
            for name, shard in zip(self.route.shards, shards, strict=True)
        )
        if outcome.answered:
            return self._merged(parts)
        if not self.attempt_pool.trace.attempt_count:
            unsent = len(self.attempt_pool.trace.not_sent_shards)
            raise OverloadedError(
                f"{unsent} of {len(shards)} shards have no upstream with a free connection"
            )
        raise create_gather_refusal(outcome.reason)

    def _parts(self) -> list[RawReply]:
        shards = self.gather.shards
        return [shard.part for shard in shards if isinstance(shard.part, RawReply)]

    def _records(self, parts: list[RawReply]) -> bytes:
        return merge_top_records([part.body for part in parts], self.route.top_records)

    def _merged(self, parts: list[RawReply]) -> RoutedResponse:
        names = self.attempt_pool.upstream_client.header_names
        signatures = [part.header_values[names.signature] for part in parts]
        missing = len(self.gather.shards) - len(parts)
        request_id = self.attempt_pool.request.caller_request.request_id
        return create_gather_response(names, request_id, signatures, missing, self._records(parts))
