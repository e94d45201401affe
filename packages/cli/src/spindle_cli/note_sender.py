"""Sending of a release note until its outcome is known."""

import itertools
import time

import gevent

from spindle_cli import const
from spindle_cli.operator_api import ASK_ANOTHER, OperatorApi
from spindle_decisions.commands.note_applied import NoteApplied
from spindle_decisions.exceptions import (
    AnswerLostError,
    OutcomeUnknownError,
    RemoteError,
    UnreachableError,
)


class NoteSender:
    """Sends the very same bytes to one control instance after the other.

    A resend gets the first outcome and never applies twice, so a lost answer is
    a reason to ask again. The note is "outcome unknown" only when an answer was
    lost and no later one told the outcome.
    """

    def __init__(self, api: OperatorApi, wait_s: float) -> None:
        self.api = api
        self.wait_s = wait_s
        self.tries = 0

    def send(self, text: bytes) -> NoteApplied:
        """Return the outcome of an accepted note.

        Raises `RemoteError` for a refusal, `UnreachableError` when the note
        certainly reached no log, and `OutcomeUnknownError` when it may have.
        """
        deadline = time.monotonic() + self.wait_s
        uncertain = False
        last = ""
        for address in itertools.cycle(self.api.required_controls()):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            self.tries += 1
            timeout_s = min(const.NOTE_TRY_TIMEOUT_S, left)
            try:
                return self.api.ask(address, "POST", const.PATH_NOTES, NoteApplied, text, timeout_s)
            except RemoteError as err:
                if not _may_ask_again(err):
                    raise
                uncertain = uncertain or err.code not in ASK_ANOTHER
                last = f"{address}: {err.code}: {err}"
            except UnreachableError as err:
                last = str(err)
            except AnswerLostError as err:
                uncertain = True
                last = str(err)
            gevent.sleep(const.RETRY_PAUSE_S)
        if uncertain:
            raise OutcomeUnknownError(
                f"the note may have been accepted; send the very same file again ({last})"
            )
        raise UnreachableError(f"the note was not accepted ({last})")


def _may_ask_again(error: RemoteError) -> bool:
    if error.code in ASK_ANOTHER or error.code == OutcomeUnknownError.code:
        return True
    server_failed = 500
    return error.http_status == server_failed
