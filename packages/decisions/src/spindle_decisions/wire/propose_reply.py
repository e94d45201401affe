"""The answer to a proposed command."""

import msgspec

from spindle_decisions.commands.command import Result


class ProposeReply(msgspec.Struct, frozen=True, tag="propose-reply"):
    """The result of a committed command, or the code of the error.

    An empty `code` means that the command is committed and applied. With `not-leader`
    or `no-quorum`, the command is in no log if `appended` is false; if it is true, the
    command may still be committed later.
    """

    seq: str
    code: str = ""
    text: str = ""
    appended: bool = False
    result: Result | None = None
