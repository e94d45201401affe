"""The default serving policy."""

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
    """The mechanisms of the default policy that can be switched off one by one."""

    hedging: bool = True
    retries: bool = True
    limits: bool = True
    ejection: bool = True


class DefaultPolicy:
    """Chooses replicas and limits concurrency, hedges and retries.

    `pressure` is a moving average of the fraction of sub-requests that found no
    free slot or were shed. At `HEDGE_PRESSURE_LIMIT` and above no hedges are sent,
    since they would add to the overload.
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
        """Choose the one with the better score of two random replicas."""
        if len(ready) == 1:
            return ready[0]
        first, second = ready if len(ready) == 2 else rng.sample(ready, 2)
        first_score = replica_score(first, first.upstream.data_center == self.data_center, now)
        second_score = replica_score(second, second.upstream.data_center == self.data_center, now)
        if first_score == second_score:
            return first if rng.random() < 0.5 else second
        return first if first_score < second_score else second

    def without_ejected(self, states: Sequence[UpstreamState], now: float) -> list[UpstreamState]:
        """Return the replicas without the ejected ones, but at least `min_in_use` of them.

        If too few are left, those whose ejection ends first are added.
        """
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
        """Admit requests up to the adaptive limit and the share of connections."""
        if state.in_flight + state.probing >= state.connection_share:
            return False
        return not self.features.limits or state.in_flight < int(state.limit.value)

    def should_shed(self, fills: Sequence[float]) -> bool:
        """Shed new queries if the services are overloaded together, not just one of them.

        A query needs all services, so if the queues of many are full, it would
        only wait and then fail. If a single queue is full while the others are
        not, that service has a fault, and the others can still answer.
        """
        if not self.features.limits:
            return False
        saturated = sum(1 for fill in fills if fill >= SATURATED_QUEUE_FILL)
        if not saturated:
            return False
        if saturated > max(1.0, SATURATED_SERVICES_RATIO * len(fills)) or saturated == len(fills):
            return True
        return (
            sum(min(SATURATED_QUEUE_FILL, fill) for fill in fills) / len(fills)
            >= BUSY_MEAN_QUEUE_FILL
        )

    def hedge_delay_s(self, group: str) -> float | None:
        """Return the estimated latency percentile of the group, at least `HEDGE_MIN_DELAY_S`."""
        if not self.features.hedging:
            return None
        return max(HEDGE_MIN_DELAY_S, self._quantile(group).value_s)

    def admits_hedge(self, state: UpstreamState) -> bool:
        """Admit hedges up to the slots of the replica, even if the adaptive limit is lower."""
        if state.in_flight + state.probing >= state.connection_share:
            return False
        return state.in_flight < state.upstream.slots or self.admits_request(state)

    def try_acquire_hedge(self, use_reserve: bool) -> bool:
        """Take one hedge from the budget; grant none under high pressure.

        `HEDGE_RESERVE` of the budget is kept for sub-requests that have been in
        flight for long, because these gain most from a hedge.
        """
        if self.pressure >= HEDGE_PRESSURE_LIMIT:
            return False
        return self.hedges.try_acquire(0.0 if use_reserve else HEDGE_RESERVE)

    def try_acquire_retry(self, kind: FailureKind) -> bool:
        """Grant a retry: without budget if the upstream did no work, else from the budget."""
        if not self.features.retries:
            return False
        if kind is FailureKind.SHED:
            self._update_pressure(1.0)
        return kind in UNBUDGETED_RETRY_KINDS or self.retries.try_acquire()

    def on_primary_sent(self) -> None:
        """Add to the budgets and lower the pressure."""
        self.hedges.deposit()
        self.retries.deposit()
        self._update_pressure(0.0)

    def on_slot_wait(self) -> None:
        """Raise the pressure."""
        self._update_pressure(1.0)

    def on_latency(self, group: str, latency_s: float, now: float) -> None:
        """Record a latency for the percentile of the group."""
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
