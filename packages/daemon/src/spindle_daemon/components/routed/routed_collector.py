"""Metrics of routed requests."""

from collections.abc import Iterable

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from spindle_daemon.components.routed.coordinator import RoutedCoordinator
from spindle_daemon.components.routed.routed_stats import BUCKETS_S, RoutedStats


class RoutedCollector(Collector):
    """Collects the counts and the routing state at each scrape."""

    def __init__(self, stats: RoutedStats, coordinator: RoutedCoordinator) -> None:
        self.stats = stats
        self.coordinator = coordinator

    def collect(self) -> Iterable[Metric]:
        """Return the current values."""
        stats, coordinator = self.stats, self.coordinator
        yield _counter(
            "spindle_routed_requests", "Routed requests by outcome.", "outcome", stats.outcomes
        )
        yield _counter("spindle_routed_sends", "Sends by cause.", "cause", stats.attempts)
        yield CounterMetricFamily(
            "spindle_routed_missing_parts",
            "Shards left out of gathered answers.",
            value=stats.missing_parts,
        )
        yield _latency_histogram(stats)
        now = coordinator.spindle.clock.now()
        replicas = coordinator.routing_state.replicas.replicas.values()
        states = {
            "usable": sum(item.is_ready() for item in replicas),
            "ejected": sum(item.is_ejected(now) for item in replicas),
            "draining": sum(item.listed.draining for item in replicas),
            "leaving": sum(item.leaving_since is not None for item in replicas),
            "resting": sum(item.is_resting(now) for item in replicas),
            "limited": sum(item.rate_limit is not None for item in replicas),
        }
        upstreams = GaugeMetricFamily(
            "spindle_routed_upstreams", "Upstreams by state.", labels=["state"]
        )
        for state, count in states.items():
            upstreams.add_metric([state], count)
        yield upstreams
        yield _gauge("spindle_plan_version", "Plan in force.", coordinator.route_table.plan.version)
        yield _gauge(
            "spindle_list_age_seconds", "Age of the list.", coordinator.fleet.list_cache.age_s(now)
        )
        yield _gauge(
            "spindle_quorum_age_seconds",
            "Since a quorum was heard of.",
            coordinator.fleet.quorum_age_s(),
        )
        yield _gauge(
            "spindle_entry_instances", "Instances that share.", coordinator.routing_state.instances
        )
        opened = sum(pool.open_count for pool in coordinator.upstream_client.pools.values())
        yield _gauge("spindle_upstream_connections", "Open connections.", opened)


def _counter(
    name: str, description: str, label: str, values: dict[str, int]
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, description, labels=[label])
    for key, value in values.items():
        family.add_metric([key], value)
    return family


def _gauge(name: str, description: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(name, description, value=value)


def _latency_histogram(stats: RoutedStats) -> HistogramMetricFamily:
    family = HistogramMetricFamily(
        "spindle_routed_seconds", "Time until the answer, by kind of route.", labels=["kind"]
    )
    for kind, counts in stats.buckets.items():
        total = 0
        buckets = []
        for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), counts, strict=True):
            total += count
            buckets.append((bound, total))
        family.add_metric([kind], buckets, stats.total_latency_s[kind])
    return family
