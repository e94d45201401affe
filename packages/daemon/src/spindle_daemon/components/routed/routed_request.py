"""A routed request with its deadline."""

import dataclasses
import functools

from spindle_decisions.routing.request_fingerprint import request_fingerprint
from spindle_decisions.wire.caller_request import CallerRequest


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """The caller's request, when it arrived, and how long the caller waits from then on."""

    caller_request: CallerRequest
    deadline_s: float
    arrived_at: float

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return what is equal for repetitions of the request; hashes its body once."""
        return request_fingerprint(self.caller_request)
