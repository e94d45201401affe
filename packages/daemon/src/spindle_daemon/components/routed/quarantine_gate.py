"""Admission of requests that may crash upstreams."""

import math
from collections.abc import Callable

import msgspec

from spindle_daemon.components.quarantine.entry_quarantine import EntryQuarantine
from spindle_daemon.components.routed.const import RETRY_AFTER_TRIAL_S
from spindle_daemon.components.routed.routed_request import RoutedRequest
from spindle_daemon.components.routed.routed_response import RoutedResponse
from spindle_daemon.core.clock import Clock
from spindle_decisions.exceptions import QuarantinedError
from spindle_decisions.quarantine.const import TRIAL_DELAY_S
from spindle_decisions.quarantine.verdict import Verdict
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState

Forward = Callable[[Route], RoutedResponse | None]


class QuarantineGate:
    """Lets a suspected request run at one upstream first, and refuses a blocked one.

    Of equal suspected requests one is tried at a time, at a service of which two upstreams
    have answered since the last break, so that one is left; the others are refused meanwhile.
    After `trial_delay_s` healthy upstreams count as well: with few requests some are not used.
    """

    def __init__(self, clock: Clock, state: RoutingState, quarantine: EntryQuarantine) -> None:
        self.clock = clock
        self.state = state
        self.quarantine = quarantine
        self.trial_delay_s = TRIAL_DELAY_S
        self.trials: set[str] = set()

    def run(self, request: RoutedRequest, route: Route, forward: Forward) -> RoutedResponse | None:
        """Forward a request as far as it may run; raise `QuarantinedError` if it may not."""
        if self.quarantine.is_empty():
            return forward(route)
        fingerprint, now = request.fingerprint, self.clock.now()
        verdict = self.quarantine.requests.verdict(fingerprint, now)
        if verdict is Verdict.NORMAL:
            return forward(route)
        if verdict is Verdict.BLOCKED:
            raise QuarantinedError(
                f"requests like this one ({fingerprint}) crash upstreams",
                self.quarantine.requests.blocked_for_s(fingerprint, now),
            )
        trial_route = self._trial_route(route, now, self.quarantine.requests.broken_at(fingerprint))
        if fingerprint in self.trials or trial_route is None:
            raise QuarantinedError(
                f"requests like this one ({fingerprint}) are tried at one upstream at a time",
                RETRY_AFTER_TRIAL_S,
            )
        self.trials.add(fingerprint)
        try:
            answer = forward(trial_route)
        finally:
            self.trials.discard(fingerprint)
        is_whole = answer is None or not route.shards
        return answer if is_whole else forward(route)

    def is_blocked(self, request: RoutedRequest) -> bool:
        """Return whether a request may run at no upstream."""
        if self.quarantine.is_empty():
            return False
        verdict = self.quarantine.requests.verdict(request.fingerprint, self.clock.now())
        return verdict is Verdict.BLOCKED

    def _trial_route(self, route: Route, now: float, since: float) -> Route | None:
        """Return the route of a trial, `None` if it might take the last upstream of a service."""
        replicas = self.state.replicas
        answered_after = since if now - since < self.trial_delay_s else -math.inf
        names = route.shards or tuple(item.service for item in route.services)
        spared = [name for name in names if replicas.healthy_count(name, now, answered_after) > 1]
        if not spared:
            return None
        if not route.shards:
            services = tuple(item for item in route.services if item.service in spared)
            return msgspec.structs.replace(route, max_attempts=1, services=services)
        shard = self.state.rng.choice(spared)
        return msgspec.structs.replace(route, max_attempts=1, shards=(shard,), least_share=1.0)
