"""The answer to a proposed command."""

import msgspec

from spindle_decisions.commands.command import Result


class ProposeReply(msgspec.Struct, frozen=True, tag="propose-reply"):
    """The result of an agreed command, or the code of why it is not agreed.

    `code` empty means agreed and applied. `not-leader` and `no-quorum` with
    `appended` false mean that the command is in no log; with `appended` true
    it may still be agreed later.
    """

    seq: str
    code: str = ""
    text: str = ""
    appended: bool = False
    result: Result | None = None
