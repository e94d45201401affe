"""Sending of a release note until its outcome is known."""

import itertools
import time

import gevent

from spindle_cli import const
from spindle_cli.operator_api import RETRYABLE_CODES, OperatorApi
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.exceptions import (
    AnswerLostError,
    OutcomeUnknownError,
    RemoteError,
    UnreachableError,
)


class NoteSender:
    """Sends the same bytes to the control instances in turn until one gives the outcome.

    A note is applied once and every resend returns the first outcome, so resending
    after a lost answer is safe. The outcome is unknown only when an answer was lost
    and no later answer gave it.
    """

    def __init__(self, api: OperatorApi, wait_s: float) -> None:
        self.api = api
        self.wait_s = wait_s
        self.attempts = 0

    def send(self, text: bytes) -> NoteApplied:
        """Return the outcome of an accepted note.

        Raises `RemoteError` for a refusal, `UnreachableError` when the note was
        certainly not added to the log, and `OutcomeUnknownError` when it may have been.
        """
        deadline = time.monotonic() + self.wait_s
        uncertain = False
        last_error = ""
        for address in itertools.cycle(self.api.required_controls()):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                break
            self.attempts += 1
            timeout_s = min(const.NOTE_ATTEMPT_TIMEOUT_S, left_s)
            try:
                return self.api.request_one(
                    address, "POST", const.PATH_NOTES, NoteApplied, text, timeout_s
                )
            except RemoteError as err:
                if not _is_retryable(err):
                    raise
                uncertain = uncertain or err.code not in RETRYABLE_CODES
                last_error = f"{address}: {err.code}: {err}"
            except UnreachableError as err:
                last_error = str(err)
            except AnswerLostError as err:
                uncertain = True
                last_error = str(err)
            gevent.sleep(const.RETRY_DELAY_S)
        if uncertain:
            raise OutcomeUnknownError(
                f"the note may have been accepted; send the same file again ({last_error})"
            )
        raise UnreachableError(f"the note was not accepted ({last_error})")


def _is_retryable(error: RemoteError) -> bool:
    if error.code in RETRYABLE_CODES or error.code == OutcomeUnknownError.code:
        return True
    internal_server_error = 500
    return error.http_status == internal_server_error
