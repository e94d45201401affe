"""A request on its way to the upstreams."""

import dataclasses

from spindle_decisions.wire.caller_request import CallerRequest


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """What the caller sent, when it arrived, and how long the caller waits from then on."""

    caller_request: CallerRequest
    deadline_s: float
    arrived_at: float
