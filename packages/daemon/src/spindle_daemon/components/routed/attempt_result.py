"""Result of one attempt."""

import dataclasses

from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.components.routed.reply_classifier import ReplyClass
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """The answer and its class, or the reason why there is none.

    `not_sent` means that no byte of the request was sent, `timed_out` that no answer
    came in time, `broken` that the connection ended before any byte of an answer.
    """

    attempt: UpstreamAttempt
    reply: RawReply | None
    reply_class: ReplyClass | None
    not_sent: bool
    reason: str
    timed_out: bool = False
    broken: bool = False

    def is_not_run(self) -> bool:
        """Return whether the upstream reported that the request did not run there."""
        return self.reply_class in (ReplyClass.NOT_RUN, ReplyClass.MISPLACED)
