"""The accounting, metrics and timeline events of one request."""

from spindle_daemon.components.serving import const
from spindle_daemon.components.serving.metrics import ServingMetrics
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.account.query_record import QueryRecord
from spindle_decisions.catalog.group import Group
from spindle_decisions.serving.query_costs import QueryCosts
from spindle_decisions.serving.query_result import QueryResult
from spindle_decisions.timeline.event_kind import EventKind


class RequestStats:
    """Collects the figures of one request and reports them once, at its end."""

    def __init__(
        self, spindle: Spindle, metrics: ServingMetrics, request_id: str, group: Group
    ) -> None:
        self.spindle = spindle
        self.metrics = metrics
        self.request_id = request_id
        self.group = group
        self.arrived_at = spindle.clock.now()
        self.costs = QueryCosts()
        self.covered = 0
        self.missing: tuple[str, ...] = ()
        self.ended = False

    def set_request_id(self, caller_id: str) -> None:
        """Replace the request id by the caller's, which stays the same when it sends again."""
        self.spindle.timeline.add(
            EventKind.REQUEST_ARRIVED, f"sending {self.request_id}", request_id=caller_id
        )
        self.request_id = caller_id

    def record_result(self, result: QueryResult) -> None:
        """Record the costs and the coverage of a query."""
        self.costs = result.costs
        self.covered = len(result.covered)
        self.missing = result.missing

    def record_finished(self, outcome: QueryOutcome, code: str = "") -> None:
        """Record the end of the request; further calls are ignored."""
        if self.ended:
            return
        self.ended = True
        latency_s = self.spindle.clock.now() - self.arrived_at
        group = self.group.name
        self.spindle.account.record_finished(self._create_record(outcome, code, latency_s))
        self.spindle.timeline.add(
            EventKind.REQUEST_FINISHED, code or outcome.value, request_id=self.request_id
        )
        self.metrics.count(self.costs)
        self.metrics.requests.labels(group, outcome.value).inc()
        self.metrics.latency.labels(group).observe(latency_s)
        total = self.covered + len(self.missing)
        if total and outcome in (QueryOutcome.ANSWERED, QueryOutcome.PARTIAL):
            self.metrics.coverage.labels(group).observe(self.covered / total)

    def _create_record(self, outcome: QueryOutcome, code: str, latency_s: float) -> QueryRecord:
        costs = self.costs
        return QueryRecord(
            group=self.group.name,
            request_id=self.request_id,
            outcome=outcome,
            code=code,
            latency_us=int(latency_s * const.US_PER_S),
            target_ms=self.group.target_ms,
            services_total=self.covered + len(self.missing),
            services_covered=self.covered,
            missing=self.missing,
            needed=costs.needed,
            hedges=costs.hedges,
            retries=costs.retries,
            restarts=costs.restarts,
            cancelled=costs.cancelled,
        )


def start_request_stats(
    spindle: Spindle, metrics: ServingMetrics, request_id: str, group: Group
) -> RequestStats:
    """Record the arrival of a request and return its stats."""
    stats = RequestStats(spindle, metrics, request_id, group)
    spindle.account.record_arrival(group.name)
    spindle.timeline.add(EventKind.REQUEST_ARRIVED, group.name, request_id=request_id)
    return stats
