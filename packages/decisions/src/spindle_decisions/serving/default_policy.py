"""The policy of the tier as shipped."""

import dataclasses
import random
from collections.abc import Sequence

from spindle_decisions.serving.failure_kind import FailureKind
from spindle_decisions.serving.latency_quantile import LatencyQuantile
from spindle_decisions.serving.outlier_ejection import min_in_use
from spindle_decisions.serving.ratio_budget import RatioBudget
from spindle_decisions.serving.replica_score import replica_score
from spindle_decisions.serving.upstream_state import UpstreamState

HEDGE_PERCENTILE = 96.0
HEDGE_INITIAL_DELAY_S = 0.1
HEDGE_MIN_DELAY_S = 0.002
HEDGE_RATIO = 0.05
HEDGE_BURST = 20.0
HEDGE_RESERVE = 10.0
RETRY_RATIO = 0.03
PRESSURE_WEIGHT = 0.02
HEDGE_PRESSURE_LIMIT = 0.2
SATURATED_QUEUE_FILL = 1.0
SATURATED_SERVICES_RATIO = 0.1
BUSY_MEAN_QUEUE_FILL = 0.5
UNBUDGETED_RETRY_KINDS = frozenset(
    (FailureKind.NOT_SENT, FailureKind.DRAINING, FailureKind.SNAPSHOT_GONE)
)


@dataclasses.dataclass(frozen=True)
class PolicyFeatures:
    """Mechanisms that can be switched off one by one."""

    hedging: bool = True
    retries: bool = True
    limits: bool = True
    ejection: bool = True


class DefaultPolicy:
    """Replica choice, limits, hedges and retries, each behind its switch.

    `pressure` is a moving average of how often a primary found no free slot or
    was shed. While it is high, hedges would only add to the overload.
    """

    def __init__(self, data_center: str, features: PolicyFeatures) -> None:
        self.data_center = data_center
        self.features = features
        self.hedges = RatioBudget(HEDGE_RATIO, HEDGE_BURST)
        self.retries = RatioBudget(RETRY_RATIO)
        self.quantiles: dict[str, LatencyQuantile] = {}
        self.pressure = 0.0

    def choose_replica(
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

    def without_ejected(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return the replicas without the ejected ones, never fewer than the floor."""
        if not self.features.ejection or not any(now < state.ejection.until for state in states):
            return list(states)
        kept = [state for state in states if now >= state.ejection.until]
        shortfall = min_in_use(len(states)) - len(kept)
        if shortfall <= 0:
            return kept
        ejected = [state for state in states if now < state.ejection.until]
        ejected.sort(key=lambda state: state.ejection.until)
        return kept + ejected[:shortfall]

    def admits_request(self, state: UpstreamState) -> bool:
        """Admit up to the adaptive limit and the share of connections."""
        if state.in_flight + state.probing >= state.connection_share:
            return False
        return not self.features.limits or state.in_flight < int(state.limit.value)

    def should_shed(self, queue_fills: Sequence[float]) -> bool:
        """Refuse when the services are full together, not when single ones are.

        A query needs all services, so when many are full, a new query would
        only wait and fail late. When a single one is full while the others are
        not, that one has a fault, and the rest can still be answered.
        """
        if not self.features.limits:
            return False
        saturated = sum(1 for fill in queue_fills if fill >= SATURATED_QUEUE_FILL)
        if not saturated:
            return False
        if saturated > max(1.0, SATURATED_SERVICES_RATIO * len(queue_fills)) or saturated == len(
            queue_fills
        ):
            return True
        return (
            sum(min(SATURATED_QUEUE_FILL, fill) for fill in queue_fills) / len(queue_fills)
            >= BUSY_MEAN_QUEUE_FILL
        )

    def hedge_delay_s(self, group: str) -> float | None:
        """Hedge after the learned quantile of the group."""
        if not self.features.hedging:
            return None
        return max(HEDGE_MIN_DELAY_S, self._quantile(group).value_s)

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Admit up to the slots of the replica, also where the adaptive limit is lower."""
        if state.in_flight + state.probing >= state.connection_share:
            return False
        return state.in_flight < state.upstream.slots or self.admits_request(state)

    def try_acquire_hedge(self, use_reserve: bool) -> bool:
        """Take one hedge from the budget, which is closed under pressure.

        The last part of the budget is kept for sub-requests that have waited
        for long, since a hedge helps them most.
        """
        if self.pressure >= HEDGE_PRESSURE_LIMIT:
            return False
        return self.hedges.try_acquire(0.0 if use_reserve else HEDGE_RESERVE)

    def try_acquire_retry(self, kind: FailureKind) -> bool:
        """Retry freely where the upstream did no work, else from the budget."""
        if not self.features.retries:
            return False
        if kind is FailureKind.SHED:
            self._update_pressure(1.0)
        return kind in UNBUDGETED_RETRY_KINDS or self.retries.try_acquire()

    def on_primary_sent(self) -> None:
        """Earn budget, and let the pressure fall."""
        self.hedges.deposit()
        self.retries.deposit()
        self._update_pressure(0.0)

    def on_slot_wait(self) -> None:
        """Let the pressure rise."""
        self._update_pressure(1.0)

    def on_latency(self, group: str, latency_s: float, now: float) -> None:
        """Learn the quantile of the group."""
        self._quantile(group).record(latency_s, now)

    def _quantile(self, group: str) -> LatencyQuantile:
        quantile = self.quantiles.get(group)
        if quantile is None:
            quantile = self.quantiles[group] = LatencyQuantile(
                HEDGE_PERCENTILE, HEDGE_INITIAL_DELAY_S
            )
        return quantile

    def _update_pressure(self, value: float) -> None:
        self.pressure += PRESSURE_WEIGHT * (value - self.pressure)
