"""Interface for proposing commands to the replicated log."""

from typing import Protocol

from spindle_decisions.commands.command import Command
from spindle_decisions.wire.propose_reply import ProposeReply


class ControlClient(Protocol):
    """Proposes commands through any reachable control instance."""

    def propose(self, command: Command, timeout_s: float) -> ProposeReply:
        """Propose a command and block the calling greenlet for at most `timeout_s` seconds.

        A reply with an empty `code` carries the result. Raises `NotRunError` when
        the command has certainly not entered any log, and `OutcomeUnknownError` when no
        answer came in time and the command may already be, or may still be, committed.
        """
