"""Runs one non-idempotent request at most once."""

import logging

import gevent
import msgspec
import xxhash

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.claims import ClaimManager
from spindle_daemon.components.serving.exchange_failure import ExchangeFailure
from spindle_daemon.components.serving.run_answer import RunAnswer
from spindle_daemon.components.serving.run_call import RunCall
from spindle_daemon.components.serving.run_waiter import RunWaiter
from spindle_daemon.components.serving.upstream_connection import METHOD_POST
from spindle_daemon.components.serving.upstream_connection_pool import UpstreamConnectionPool
from spindle_daemon.components.serving.upstream_news import UpstreamReports
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.exceptions import (
    DeadlineExceededError,
    OutcomeUnknownError,
    OverloadedError,
    RefusalError,
)
from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.dispatch_outcome import DispatchOutcome
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.query_costs import QueryCosts
from spindle_decisions.serving.reply_failure import STATUS_OK, classify_failure
from spindle_decisions.serving.upstream_pool import UpstreamPool
from spindle_decisions.serving.upstream_state import UpstreamState
from spindle_decisions.wire.headers import HEADER_DEADLINE_MS, HEADER_REQUEST_ID

_LOGGER = logging.getLogger(__name__)
_ENCODER = msgspec.json.Encoder()


class RunBody(msgspec.Struct, frozen=True):
    """The body of a run, as sent to an upstream."""

    service: str
    key: str
    body: msgspec.Raw


class NonIdempotentRunner:
    """Claims a request, dispatches it, records the outcome and answers, in this order.

    The caller gets an answer by its deadline. A dispatch without an answer by then
    continues for `RUN_OUTCOME_GRACE_S`, so that its outcome can be recorded for a
    resend. It is not cancelled at the deadline, as its outcome would be unknown.
    """

    def __init__(
        self,
        call: RunCall,
        service: str,
        attempt: str,
        deadline: float,
        claims: ClaimManager,
        pool: UpstreamPool,
        connection_pools: dict[str, UpstreamConnectionPool],
        reports: UpstreamReports,
        spindle: Spindle,
    ) -> None:
        self.call = call
        self.service = service
        self.attempt = attempt
        self.deadline = deadline
        self.claims = claims
        self.pool = pool
        self.connection_pools = connection_pools
        self.reports = reports
        self.spindle = spindle
        self.dispatch_outcome = DispatchOutcome()
        self.costs = QueryCosts(needed=1)
        self.tried: set[str] = set()

    def run(self) -> RunAnswer:
        """Run the request and return its outcome.

        Raises a `RefusalError` that says whether the request did not run or may
        have run.
        """
        if self.pool.queue_fills([self.service], self._left_s())[0] >= 1.0:
            raise OverloadedError(f"the queue of service {self.service} is full")
        if self.spindle.settings.serving.claims:
            recorded_answer = self._claim()
            if recorded_answer is not None:
                return recorded_answer
        worker = gevent.spawn(self._dispatch_until_answered)
        worker.join(max(0.0, self._left_s()))
        if not worker.ready():
            raise OutcomeUnknownError("no answer before the deadline; the request may still run")
        result: RunAnswer | RefusalError = worker.get()
        if isinstance(result, RefusalError):
            raise result
        return result

    def _claim(self) -> RunAnswer | None:
        """Claim the run; return the recorded outcome if the request already ran."""
        if self._left_s() <= 0:
            raise DeadlineExceededError("the deadline passed before the claim; nothing ran")
        claim = ClaimRun(
            request_id=self.call.request_id,
            request_digest=self._request_digest(),
            attempt=self.attempt,
            instance=self.spindle.settings.instance.name,
            proposed_at_ms=self.spindle.clock.wall_ms(),
        )
        answer = self.claims.claim(claim, self._left_s(), self.call.first_sending)
        if not isinstance(answer, ClaimHeld):
            return None
        if not answer.recorded:
            raise OutcomeUnknownError(
                f"instance {answer.instance} holds the claim, no outcome is recorded"
            )
        return RunAnswer(self.call.request_id, True, msgspec.Raw(answer.body))

    def _request_digest(self) -> str:
        """Return a digest of group, key and body; a repartition may change the service."""
        parts = (self.call.group, self.call.key, bytes(self.call.body))
        return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(parts))

    def _dispatch_until_answered(self) -> RunAnswer | RefusalError:
        """Dispatch to one replica after another, as long as the request certainly did not run."""
        while self.dispatch_outcome.may_dispatch and self._left_s() > 0:
            state = self._acquire_slot()
            if state is None:
                break
            answer = self._dispatch(state)
            if answer is not None:
                return answer
        if self.dispatch_outcome.is_certainly_not_run:
            self._record_outcome(False, 0, b"")
        return self.dispatch_outcome.refusal()

    def _acquire_slot(self) -> UpstreamState | None:
        now = self.spindle.clock.now()
        candidates = self.pool.candidates(self.service, None, self.tried, now)
        if not candidates:
            return None
        if not self.pool.queue_length(self.service):
            state = self.pool.acquire_best(candidates, now)
            if state is not None:
                return state
        waiter = RunWaiter(self.deadline, frozenset(self.tried))
        if not self.pool.enqueue(self.service, waiter):
            return None
        waiter.event.wait(max(0.0, self._left_s()))
        waiter.done = True
        self.pool.remove_waiter(self.service, waiter)
        return waiter.state

    def _dispatch(self, state: UpstreamState) -> RunAnswer | None:
        """Dispatch to one replica; return its answer, or `None` after a failure."""
        self.tried.add(state.name)
        left_s = self._left_s()
        if left_s <= 0:
            self.pool.release_unused(state, self.spindle.clock.now())
            return None
        kind = AttemptKind.RETRY if self.dispatch_outcome.failures else AttemptKind.PRIMARY
        self.costs.primaries += kind is AttemptKind.PRIMARY
        self.costs.retries += kind is AttemptKind.RETRY
        self.claims.mark_dispatched(self.call.request_id)
        sent_at = self.spindle.clock.now()
        outcome = self._exchange(state, left_s)
        now = self.spindle.clock.now()
        if isinstance(outcome, FailureKind):
            self.dispatch_outcome.on_dispatch_failed(outcome)
            self.pool.release_failure(state, outcome, now)
            return None
        self.pool.release_success(state, now - sent_at, now)
        self._record_outcome(True, STATUS_OK, outcome)
        return RunAnswer(self.call.request_id, False, msgspec.Raw(outcome))

    def _exchange(self, state: UpstreamState, left_s: float) -> bytes | FailureKind:
        headers = {
            HEADER_REQUEST_ID: self.call.request_id,
            HEADER_DEADLINE_MS: str(max(1, int(left_s * const.MS_PER_S))),
        }
        body = _ENCODER.encode(RunBody(self.service, self.call.key, self.call.body))
        connection_pool = self.connection_pools.get(state.name)
        if connection_pool is None:
            return FailureKind.NOT_SENT
        reply = None
        with gevent.Timeout(left_s + const.RUN_OUTCOME_GRACE_S, False):
            reply = connection_pool.exchange(METHOD_POST, const.PATH_RUN, body, headers)
        if reply is None:
            return FailureKind.BROKEN
        if isinstance(reply, ExchangeFailure):
            return FailureKind.BROKEN if reply.sent else FailureKind.NOT_SENT
        self.reports.on_headers(state.name, reply, self.spindle.clock.now())
        failure = classify_failure(
            reply.status, self.call.request_id, reply.request_id, reply.not_run, reply.draining
        )
        if failure is not None:
            return failure
        try:
            msgspec.json.decode(reply.body)
        except msgspec.MsgspecError:
            return FailureKind.BROKEN
        return reply.body

    def _record_outcome(self, ran: bool, status: int, body: bytes) -> None:
        if not self.spindle.settings.serving.claims:
            return
        self.claims.record(
            RecordOutcome(
                request_id=self.call.request_id,
                attempt=self.attempt,
                ran=ran,
                status=status,
                body=body,
                proposed_at_ms=self.spindle.clock.wall_ms(),
            )
        )

    def _left_s(self) -> float:
        return self.deadline - self.spindle.clock.now()
