"""Everything that one send needs."""

import dataclasses

from spindle_daemon.components.routed.request_text import RequestText
from spindle_decisions.routing.part_send import PartSend
from spindle_decisions.routing.usual_time import UsualTime
from spindle_decisions.wire.caller_request import CallerRequest


@dataclasses.dataclass(frozen=True)
class SendOrder:
    """The request and its bytes, where it goes and until when it is waited for.

    `usual` is the usual time of an answer on the route. One that is not `repeatable`
    goes out only on a connection that surely works.
    """

    send: PartSend
    request: CallerRequest
    text: RequestText
    end_at: float
    usual: UsualTime
    repeatable: bool
