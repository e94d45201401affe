"""A policy without hedges, retries and limits, as a baseline for comparisons."""

import random
from collections.abc import Sequence

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.upstream_state import UpstreamState


class NaivePolicy:
    """Sends each sub-request once, to a random replica, without limits."""

    def choose_replica(
        self, ready: Sequence[UpstreamState], now: float, rng: random.Random
    ) -> UpstreamState:
        """Choose a random replica."""
        return rng.choice(ready)

    def without_ejected(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return all replicas."""
        return list(states)

    def admits_request(self, state: UpstreamState) -> bool:
        """Admit every request."""
        return True

    def should_shed(self, fills: Sequence[float]) -> bool:
        """Accept every query."""
        return False

    def hedge_delay_s(self, group: str) -> float | None:
        """Never hedge."""
        return None

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Admit no hedge."""
        return False

    def try_acquire_hedge(self, use_reserve: bool) -> bool:
        """Grant no hedge."""
        return False

    def try_acquire_retry(self, kind: FailureKind) -> bool:
        """Grant no retry."""
        return False

    def on_primary_sent(self) -> None:
        """Do nothing."""

    def on_slot_wait(self) -> None:
        """Do nothing."""

    def on_latency(self, group: str, latency_s: float, now: float) -> None:
        """Do nothing."""
