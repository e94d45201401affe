"""The policy without any mechanism, as a yardstick."""

import random
from collections.abc import Sequence

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.upstream_state import UpstreamState


class NaivePolicy:
    """One random replica, no hedge, no retry, no limit."""

    def choose_replica(
        self, ready: Sequence[UpstreamState], now: float, rng: random.Random
    ) -> UpstreamState:
        """Choose any replica."""
        return rng.choice(ready)

    def without_ejected(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return all replicas."""
        return list(states)

    def admits_request(self, state: UpstreamState) -> bool:
        """Admit everything."""
        return True

    def should_shed(self, queue_fills: Sequence[float]) -> bool:
        """Refuse nothing."""
        return False

    def hedge_delay_s(self, group: str) -> float | None:
        """Never hedge."""
        return None

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Admit none."""
        return False

    def try_acquire_hedge(self, use_reserve: bool) -> bool:
        """Never hedge."""
        return False

    def try_acquire_retry(self, kind: FailureKind) -> bool:
        """Never retry."""
        return False

    def on_primary_sent(self) -> None:
        """Count nothing."""

    def on_slot_wait(self) -> None:
        """Count nothing."""

    def on_latency(self, group: str, latency_s: float, now: float) -> None:
        """Learn nothing."""
