"""The policy that decides for every sub-request."""

import random
from collections.abc import Sequence
from typing import Protocol

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.upstream_state import UpstreamState


class ServingPolicy(Protocol):
    """Which replica, how much at once, and when to send again."""

    def choose(
        self, ready: Sequence[UpstreamState], now: float, rng: random.Random
    ) -> UpstreamState:
        """Choose one of at least one replica."""

    def in_use(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return the replicas of a service without those that are ejected."""

    def admits(self, state: UpstreamState) -> bool:
        """Tell whether one more request may be in flight at the replica."""

    def refuses_new(self, waiting: Sequence[float]) -> bool:
        """Tell whether to refuse a query, given how full the queue of each service is."""

    def hedge_after_s(self, group: str) -> float | None:
        """Return after how long to hedge, or `None` for never."""

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Tell whether a hedge may be in flight at the replica."""

    def may_hedge(self, patient: bool) -> bool:
        """Take one hedge from the budget; `patient` when it has waited for long already."""

    def may_retry(self, kind: FailureKind) -> bool:
        """Take one retry from the budget."""

    def sent_primary(self) -> None:
        """Count a primary that is sent."""

    def had_to_wait(self) -> None:
        """Count a sub-request for which no slot was free."""

    def latency_seen(self, group: str, latency_s: float, now: float) -> None:
        """Take in how long a primary took, or had taken when it was cancelled."""
