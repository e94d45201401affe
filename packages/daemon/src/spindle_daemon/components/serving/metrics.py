"""Metrics of the serving path."""

from prometheus_client import REGISTRY, CollectorRegistry, Counter, Histogram

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.query_costs import QueryCosts

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0)
COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)


class ServingMetrics:
    """Counters and histograms; label values come only from fixed sets and the catalog."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "spindle_requests_total",
            "Requests by group and how they ended.",
            ["group", "outcome"],
            registry=registry,
        )
        self.latency = Histogram(
            "spindle_request_seconds",
            "Seconds from arrival to the end of a request.",
            ["group"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.coverage = Histogram(
            "spindle_coverage_ratio",
            "Covered share of the services of an answered query.",
            ["group"],
            buckets=COVERAGE_BUCKETS,
            registry=registry,
        )
        self.subrequests = Counter(
            "spindle_subrequests_total",
            "Sub-requests sent to upstreams by cause.",
            ["cause"],
            registry=registry,
        )
        self.cancelled = Counter(
            "spindle_subrequests_cancelled_total",
            "Sub-requests cancelled before their answer.",
            registry=registry,
        )
        self.probes = Counter(
            "spindle_probes_total", "Status requests sent to upstreams.", registry=registry
        )
        self.by_kind = {kind: self.subrequests.labels(kind.value) for kind in AttemptKind}

    def count(self, costs: QueryCosts) -> None:
        """Count the sub-requests of one request; called once at its end."""
        self.by_kind[AttemptKind.PRIMARY].inc(costs.primaries)
        self.by_kind[AttemptKind.HEDGE].inc(costs.hedges)
        self.by_kind[AttemptKind.RETRY].inc(costs.retries)
        self.by_kind[AttemptKind.RESTART].inc(costs.restarts)
        self.cancelled.inc(costs.cancelled)


def create_metrics(registry: CollectorRegistry = REGISTRY) -> ServingMetrics:
    """Create the metrics in `registry`, by default the one that the process exposes."""
    return ServingMetrics(registry)
