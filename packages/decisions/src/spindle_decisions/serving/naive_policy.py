"""The policy without any mechanism, as a yardstick."""

import random
from collections.abc import Sequence

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.upstream_state import UpstreamState


class NaivePolicy:
    """One random replica, no hedge, no retry, no limit."""

    def choose(
        self, ready: Sequence[UpstreamState], now: float, rng: random.Random
    ) -> UpstreamState:
        """Choose any replica."""
        return rng.choice(ready)

    def in_use(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return all replicas."""
        return list(states)

    def admits(self, state: UpstreamState) -> bool:
        """Admit everything."""
        return True

    def refuses_new(self, waiting: Sequence[float]) -> bool:
        """Refuse nothing."""
        return False

    def hedge_after_s(self, group: str) -> float | None:
        """Never hedge."""
        return None

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Admit none."""
        return False

    def may_hedge(self, patient: bool) -> bool:
        """Never hedge."""
        return False

    def may_retry(self, kind: FailureKind) -> bool:
        """Never retry."""
        return False

    def sent_primary(self) -> None:
        """Count nothing."""

    def had_to_wait(self) -> None:
        """Count nothing."""

    def latency_seen(self, group: str, latency_s: float, now: float) -> None:
        """Learn nothing."""
