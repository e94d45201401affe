"""Everything that one send needs."""

import dataclasses

from spindle_daemon.components.routed.request_encoder import RequestEncoder
from spindle_decisions.routing.median_latency import MedianLatency
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt
from spindle_decisions.wire.caller_request import CallerRequest


@dataclasses.dataclass(frozen=True)
class AttemptRequest:
    """The request and its bytes, where it goes and until when it is waited for.

    `usual` is the usual time of an answer on the route. One that is not `repeatable`
    goes out only on a connection that surely works.
    """

    attempt: UpstreamAttempt
    request: CallerRequest
    encoder: RequestEncoder
    end_at: float
    median_latency: MedianLatency
    retryable: bool
