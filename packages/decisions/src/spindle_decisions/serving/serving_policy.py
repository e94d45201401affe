"""The interface of the policy for sub-requests."""

import random
from collections.abc import Sequence
from typing import Protocol

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.upstream_state import UpstreamState


class ServingPolicy(Protocol):
    """Decides on replicas, concurrency, load shedding, hedges and retries."""

    def choose_replica(
        self, ready: Sequence[UpstreamState], now: float, rng: random.Random
    ) -> UpstreamState:
        """Choose one of the replicas in `ready`, which isn't empty."""

    def without_ejected(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return the replicas of a service without the ejected ones."""

    def admits_request(self, state: UpstreamState) -> bool:
        """Return whether one more request may be in flight at the replica."""

    def should_shed(self, fills: Sequence[float]) -> bool:
        """Return whether to shed a new query; `fills` has the queue fill of each service."""

    def hedge_delay_s(self, group: str) -> float | None:
        """Return the delay before a hedge, or `None` to never hedge."""

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Return whether a hedge may be in flight at the replica."""

    def try_acquire_hedge(self, use_reserve: bool) -> bool:
        """Take one hedge from the budget; a late hedge may use the reserve."""

    def try_acquire_retry(self, kind: FailureKind) -> bool:
        """Take one retry from the budget."""

    def on_primary_sent(self) -> None:
        """Count a primary that was sent."""

    def on_slot_wait(self) -> None:
        """Count a sub-request that found no free slot."""

    def on_latency(self, group: str, latency_s: float, now: float) -> None:
        """Record the latency of a sub-request other than a hedge, or the time until cancelled."""
