"""The policy of the tier as shipped."""

import dataclasses
import random
from collections.abc import Sequence

from spindle_decisions.serving.ejection import ejection_floor
from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.latency_quantile import LatencyQuantile
from spindle_decisions.serving.ratio_budget import RatioBudget
from spindle_decisions.serving.replica_score import replica_score
from spindle_decisions.serving.upstream_state import UpstreamState

HEDGE_PERCENTILE = 96.0
HEDGE_INITIAL_S = 0.1
HEDGE_MIN_DELAY_S = 0.002
HEDGE_RATIO = 0.05
HEDGE_BURST = 20.0
HEDGE_SPARE = 10.0
RETRY_RATIO = 0.03
PRESSURE_WEIGHT = 0.02
PRESSURE_CLOSES_HEDGES = 0.2
SATURATED = 1.0
MANY_SATURATED_RATIO = 0.1
BUSY_MEAN = 0.5
FREE_RETRIES = frozenset((FailureKind.UNSENT, FailureKind.DRAINING, FailureKind.SNAPSHOT_GONE))


@dataclasses.dataclass(frozen=True)
class TierSwitches:
    """Mechanisms that can be switched off one by one."""

    hedging: bool = True
    retries: bool = True
    limits: bool = True
    ejection: bool = True


class TierPolicy:
    """Replica choice, limits, hedges and retries, each behind its switch.

    `pressure` is a moving average of how often a primary found no free slot or
    was shed. While it is high, hedges would only add to the overload.
    """

    def __init__(self, data_center: str, switches: TierSwitches) -> None:
        self.data_center = data_center
        self.switches = switches
        self.hedges = RatioBudget(HEDGE_RATIO, HEDGE_BURST)
        self.retries = RatioBudget(RETRY_RATIO)
        self.quantiles: dict[str, LatencyQuantile] = {}
        self.pressure = 0.0

    def choose(
        self, ready: Sequence[UpstreamState], now: float, rng: random.Random
    ) -> UpstreamState:
        """Choose the better of two random replicas."""
        if len(ready) == 1:
            return ready[0]
        first, second = ready if len(ready) == 2 else rng.sample(ready, 2)
        first_score = replica_score(first, first.upstream.data_center == self.data_center, now)
        second_score = replica_score(second, second.upstream.data_center == self.data_center, now)
        if first_score == second_score:
            return first if rng.random() < 0.5 else second
        return first if first_score < second_score else second

    def in_use(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return the replicas without the ejected ones, never fewer than the floor."""
        if not self.switches.ejection or not any(now < state.ejection.until for state in states):
            return list(states)
        kept = [state for state in states if now >= state.ejection.until]
        short = ejection_floor(len(states)) - len(kept)
        if short <= 0:
            return kept
        ejected = [state for state in states if now < state.ejection.until]
        ejected.sort(key=lambda state: state.ejection.until)
        return kept + ejected[:short]

    def admits(self, state: UpstreamState) -> bool:
        """Admit up to the adaptive limit and the share of connections."""
        if state.inflight + state.probing >= state.share:
            return False
        return not self.switches.limits or state.inflight < int(state.limit.value)

    def refuses_new(self, waiting: Sequence[float]) -> bool:
        """Refuse when the services are full together, not when single ones are.

        A query needs all services, so when many are full, a new query would
        only wait and fail late. When a single one is full while the others are
        not, that one has a fault, and the rest can still be answered.
        """
        if not self.switches.limits:
            return False
        full = sum(1 for fill in waiting if fill >= SATURATED)
        if not full:
            return False
        if full > max(1.0, MANY_SATURATED_RATIO * len(waiting)) or full == len(waiting):
            return True
        return sum(min(SATURATED, fill) for fill in waiting) / len(waiting) >= BUSY_MEAN

    def hedge_after_s(self, group: str) -> float | None:
        """Hedge after the learned quantile of the group."""
        if not self.switches.hedging:
            return None
        return max(HEDGE_MIN_DELAY_S, self._quantile(group).value_s)

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Admit up to the slots of the replica, also where the adaptive limit is lower."""
        if state.inflight + state.probing >= state.share:
            return False
        return state.inflight < state.upstream.slots or self.admits(state)

    def may_hedge(self, patient: bool) -> bool:
        """Take one hedge from the budget, which is closed under pressure.

        The last part of the budget is kept for sub-requests that have waited
        for long, since a hedge helps them most.
        """
        if self.pressure >= PRESSURE_CLOSES_HEDGES:
            return False
        return self.hedges.take(0.0 if patient else HEDGE_SPARE)

    def may_retry(self, kind: FailureKind) -> bool:
        """Retry freely where the upstream did no work, else from the budget."""
        if not self.switches.retries:
            return False
        if kind is FailureKind.SHED:
            self._press(1.0)
        return kind in FREE_RETRIES or self.retries.take()

    def sent_primary(self) -> None:
        """Earn budget, and let the pressure fall."""
        self.hedges.earn()
        self.retries.earn()
        self._press(0.0)

    def had_to_wait(self) -> None:
        """Let the pressure rise."""
        self._press(1.0)

    def latency_seen(self, group: str, latency_s: float, now: float) -> None:
        """Learn the quantile of the group."""
        self._quantile(group).record(latency_s, now)

    def _quantile(self, group: str) -> LatencyQuantile:
        found = self.quantiles.get(group)
        if found is None:
            found = self.quantiles[group] = LatencyQuantile(HEDGE_PERCENTILE, HEDGE_INITIAL_S)
        return found

    def _press(self, value: float) -> None:
        self.pressure += PRESSURE_WEIGHT * (value - self.pressure)
