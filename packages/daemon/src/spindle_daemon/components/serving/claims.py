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
    """Claims the one run of a request, and records how it ended.

    Without a majority nobody can tell whether an id ran at another entry. "Not
    run" is then said only to a caller whose word is that it never sent the id
    before, and only when this instance did not send it to an upstream either.
    """

    def __init__(self, spindle: Spindle) -> None:
        self.spindle = spindle
        self.dispatched: OrderedDict[str, None] = OrderedDict()
        self.pending: set[gevent.Greenlet] = set()

    def claim(self, claim: ClaimRun, timeout_s: float, first_sending: bool) -> ClaimAnswer:
        """Have the claim agreed.

        Raises `NotRunError` when it was not agreed in time and this is the first
        sending of the id, `OutcomeUnknownError` when an earlier one may have
        run, and what the claim was refused with. A claim that is agreed after
        all without being used is released in the background.
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
            raise OutcomeUnknownError("the claim got an unexpected result")
        self._add_event(EventKind.CLAIM_GRANTED, claim.attempt, claim.request_id)
        return result

    def _not_committed_error(self, claim: ClaimRun, first_sending: bool) -> RefusalError:
        if first_sending and claim.request_id not in self.dispatched:
            return NotRunError("the claim was not agreed in time; nothing ran")
        return OutcomeUnknownError(
            "the claim was not agreed in time; this sending ran nothing, an earlier one may have"
        )

    def mark_dispatched(self, request_id: str) -> None:
        """Remember that bytes of this request may be with an upstream from now on."""
        self.dispatched[request_id] = None
        if len(self.dispatched) > const.MAX_DISPATCHED_IDS:
            self.dispatched.popitem(last=False)

    def record(self, outcome: RecordOutcome) -> None:
        """Record an outcome in the background, until it is agreed or out of retention."""
        if not outcome.ran:
            self.dispatched.pop(outcome.request_id, None)
        self._spawn(self._propose_with_retries, outcome)

    def wait_for_records(self, timeout_s: float) -> None:
        """Wait for outcomes that are still to be recorded, as before a planned stop."""
        gevent.joinall(list(self.pending), timeout=timeout_s)

    def _spawn(self, work: Callable[..., object], command: Command) -> None:
        greenlet = gevent.spawn(work, command)
        self.pending.add(greenlet)
        greenlet.link(self.pending.discard)

    def _release_unused(self, claim: ClaimRun) -> None:
        """Find out whether a claim was agreed, then give it back.

        Proposing the same attempt again is recognised, so that the answer tells
        the truth; only a claim known to be agreed is released.
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
                _LOGGER.info("serving: proposal not agreed yet: %s", err)
            gevent.sleep(pause_s)
            pause_s = min(const.MAX_PROPOSAL_RETRY_DELAY_S, 2 * pause_s)
        _LOGGER.warning("serving: gave up proposing %s", type(command).__name__)
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
