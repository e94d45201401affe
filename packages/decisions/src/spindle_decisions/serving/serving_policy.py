"""The policy that decides for every sub-request."""

import random
from collections.abc import Sequence
from typing import Protocol

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.upstream_state import UpstreamState


class ServingPolicy(Protocol):
    """Which replica, how much at once, and when to send again."""

    def choose_replica(
        self, ready: Sequence[UpstreamState], now: float, rng: random.Random
    ) -> UpstreamState:
        """Choose one of at least one replica."""

    def without_ejected(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return the replicas of a service without those that are ejected."""

    def admits_request(self, state: UpstreamState) -> bool:
        """Tell whether one more request may be in flight at the replica."""

    def should_shed(self, queue_fills: Sequence[float]) -> bool:
        """Tell whether to refuse a query, given how full the queue of each service is."""

    def hedge_delay_s(self, group: str) -> float | None:
        """Return after how long to hedge, or `None` for never."""

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Tell whether a hedge may be in flight at the replica."""

    def try_acquire_hedge(self, use_reserve: bool) -> bool:
        """Take one hedge from the budget; `patient` when it has waited for long already."""

    def try_acquire_retry(self, kind: FailureKind) -> bool:
        """Take one retry from the budget."""

    def on_primary_sent(self) -> None:
        """Count a primary that is sent."""

    def on_slot_wait(self) -> None:
        """Count a sub-request for which no slot was free."""

    def on_latency(self, group: str, latency_s: float, now: float) -> None:
        """Take in how long a primary took, or had taken when it was cancelled."""
