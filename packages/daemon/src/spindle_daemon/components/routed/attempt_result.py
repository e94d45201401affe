"""How one send ended."""

import dataclasses

from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.reply_classifier import ReplyClass
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """The answer and its meaning, or why there is none.

    `unsent` means that no byte of the request left this instance, `late` that time
    was over before an answer came.
    """

    attempt: UpstreamAttempt
    reply: RawReply | None
    reply_class: ReplyClass | None
    not_sent: bool
    reason: str
    timed_out: bool = False
