"""Input of one attempt."""

import dataclasses

from spindle_daemon.components.routed.request_encoder import RequestEncoder
from spindle_decisions.routing.median_latency import MedianLatency
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt
from spindle_decisions.wire.caller_request import CallerRequest


@dataclasses.dataclass(frozen=True)
class AttemptRequest:
    """The attempt, the request and its encoder, and when the attempt must end.

    `median_latency` is that of answers on the route. A request that is not `retryable`
    is sent only on a new or recently used connection.
    """

    attempt: UpstreamAttempt
    request: CallerRequest
    encoder: RequestEncoder
    end_at: float
    median_latency: MedianLatency
    retryable: bool
