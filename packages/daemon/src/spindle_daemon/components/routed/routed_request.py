"""A routed request with its deadline."""

import dataclasses

from spindle_decisions.wire.caller_request import CallerRequest


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """The caller's request, when it arrived, and how long the caller waits from then on."""

    caller_request: CallerRequest
    deadline_s: float
    arrived_at: float
