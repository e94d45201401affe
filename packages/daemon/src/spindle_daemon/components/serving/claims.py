"""At-most-once claims through the replicated log."""

import logging
from collections import OrderedDict
from collections.abc import Callable

import gevent

from spindle_daemon.components.serving import const
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.commands.claim_granted import ClaimGranted
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.claim_refused import ClaimRefused
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.command import Command, Result
from spindle_decisions.commands.record_outcome import RecordOutcome
from spindle_decisions.exceptions import (
    BadRequestError,
    ControlError,
    IdExpiredError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    RefusalError,
)
from spindle_decisions.timeline.event_kind import EventKind

_LOGGER = logging.getLogger(__name__)

ClaimAnswer = ClaimGranted | ClaimHeld


class ClaimManager:
    """Claims the right to run a request once, and records the outcome.

    Without a majority of control instances it is unknown whether an id ran at
    another entry instance. The answer is then "not run" only if the caller states
    that it never sent the id before, and this instance has not sent it to an
    upstream either; otherwise the outcome is unknown.
    """

    def __init__(self, spindle: Spindle) -> None:
        self.spindle = spindle
        self.dispatched: OrderedDict[str, None] = OrderedDict()
        self.pending: set[gevent.Greenlet] = set()

    def claim(self, claim: ClaimRun, timeout_s: float, first_sending: bool) -> ClaimAnswer:
        """Commit a claim to the replicated log within `timeout_s` seconds.

        Returns `ClaimGranted`, or `ClaimHeld` if another attempt holds the claim.
        Raises `NotRunError` if the claim was not committed in time and this is the
        first sending of the id, `OutcomeUnknownError` if an earlier sending may
        have run, and the error of a refused claim. A claim that may be committed
        after this call has failed is released in the background.
        """
        try:
            result = self._propose(claim, timeout_s)
        except NotRunError:
            raise self._not_committed_error(claim, first_sending) from None
        except OutcomeUnknownError:
            self._spawn(self._release_unused, claim)
            raise self._not_committed_error(claim, first_sending) from None
        if isinstance(result, ClaimRefused):
            self._add_event(EventKind.CLAIM_REFUSED, result.text, claim.request_id)
            raise _refusal(result)
        if isinstance(result, ClaimHeld):
            self._add_event(EventKind.CLAIM_REFUSED, f"held by {result.instance}", claim.request_id)
            return result
        if not isinstance(result, ClaimGranted) or result.attempt != claim.attempt:
            raise OutcomeUnknownError(
                f"the claim of attempt {claim.attempt} got an unexpected result: {result!r}"
            )
        self._add_event(EventKind.CLAIM_GRANTED, claim.attempt, claim.request_id)
        return result

    def _not_committed_error(self, claim: ClaimRun, first_sending: bool) -> RefusalError:
        if first_sending and claim.request_id not in self.dispatched:
            return NotRunError("the claim was not committed in time; nothing ran")
        return OutcomeUnknownError(
            "the claim was not committed in time; this sending did not run, an earlier one may have"
        )

    def mark_dispatched(self, request_id: str) -> None:
        """Record that an upstream may have received bytes of this request."""
        self.dispatched[request_id] = None
        if len(self.dispatched) > const.MAX_DISPATCHED_IDS:
            self.dispatched.popitem(last=False)

    def record(self, outcome: RecordOutcome) -> None:
        """Record an outcome in the background, retrying for `PROPOSAL_RETRY_TIMEOUT_S`."""
        if not outcome.ran:
            self.dispatched.pop(outcome.request_id, None)
        self._spawn(self._propose_with_retries, outcome)

    def wait_for_records(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` seconds for pending proposals, as part of the shutdown."""
        gevent.joinall(list(self.pending), timeout=timeout_s)

    def _spawn(self, work: Callable[..., object], command: Command) -> None:
        greenlet = gevent.spawn(work, command)
        self.pending.add(greenlet)
        greenlet.link(self.pending.discard)

    def _release_unused(self, claim: ClaimRun) -> None:
        """Release a claim that may have been committed, once the commit is confirmed.

        The replicated state recognizes an attempt that is proposed again, so the
        result of the second proposal shows whether this attempt holds the claim.
        """
        result = self._propose_with_retries(claim)
        if isinstance(result, ClaimGranted) and result.attempt == claim.attempt:
            self.record(
                RecordOutcome(
                    request_id=claim.request_id,
                    attempt=claim.attempt,
                    ran=False,
                    status=0,
                    body=b"",
                    proposed_at_ms=self.spindle.clock.wall_ms(),
                )
            )

    def _propose_with_retries(self, command: Command) -> Result | None:
        give_up_at = self.spindle.clock.now() + const.PROPOSAL_RETRY_TIMEOUT_S
        pause_s = const.PROPOSAL_RETRY_DELAY_S
        while self.spindle.clock.now() < give_up_at:
            try:
                return self._propose(command, const.PROPOSAL_TIMEOUT_S)
            except (RefusalError, ControlError) as err:
                _LOGGER.info("serving: proposal not committed yet: %s", err)
            gevent.sleep(pause_s)
            pause_s = min(const.MAX_PROPOSAL_RETRY_DELAY_S, 2 * pause_s)
        _LOGGER.warning(
            "serving: gave up proposing %s after %s s",
            type(command).__name__,
            const.PROPOSAL_RETRY_TIMEOUT_S,
        )
        return None

    def _propose(self, command: Command, timeout_s: float) -> Result | None:
        reply = self.spindle.control.propose(command, timeout_s)
        if not reply.code:
            return reply.result
        if reply.appended:
            raise OutcomeUnknownError(f"{reply.code}: {reply.text}")
        raise NotRunError(f"{reply.code}: {reply.text}")

    def _add_event(self, kind: EventKind, reason: str, request_id: str) -> None:
        self.spindle.timeline.add(kind, reason, request_id=request_id)


def _refusal(refused: ClaimRefused) -> RefusalError:
    if refused.code == IdExpiredError.code:
        return IdExpiredError(refused.text)
    if refused.code == OverloadedError.code:
        return OverloadedError(refused.text)
    return BadRequestError(refused.text)
