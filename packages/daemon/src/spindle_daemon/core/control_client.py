"""How components put commands into the replicated log."""

from typing import Protocol

from spindle_decisions.commands.command import Command
from spindle_decisions.wire.propose_reply import ProposeReply


class ControlClient(Protocol):
    """Proposes commands through whichever control instance can be reached."""

    def propose(self, command: Command, timeout_s: float) -> ProposeReply:
        """Have a command agreed; block the calling greenlet for at most `timeout_s`.

        A reply with an empty `code` carries the result. Raises `NotRunError` when
        the command is certainly in no log, and `OutcomeUnknownError` when it
        may be or may become agreed although no answer came in time.
        """
