"""The state of one upstream as this instance knows it."""

from spindle_decisions.catalog.upstream import Upstream
from spindle_decisions.serving.adaptive_concurrency_limit import AdaptiveConcurrencyLimit
from spindle_decisions.serving.latency_ewma import LatencyEwma
from spindle_decisions.serving.outlier_ejection import OutlierEjection
from spindle_decisions.serving.reported_drain import ReportedDrain
from spindle_decisions.serving.reported_load import ReportedLoad
from spindle_decisions.serving.snapshot_id import SnapshotId


class UpstreamState:
    """What this instance has observed of an upstream, and what the upstream reports.

    `connection_share` is how many connections this instance may hold to it.
    `in_use_since` is when this instance began to use it; slow start counts from
    then. `probing` is 1 while a status request needs a connection, else 0.
    """

    def __init__(self, upstream: Upstream, in_use_since: float) -> None:
        self.upstream = upstream
        self.name = upstream.name
        self.in_use_since = in_use_since
        self.snapshots: frozenset[SnapshotId] = frozenset()
        self.in_flight = 0
        self.probing = 0
        self.last_answered_at = float("-inf")
        self.connection_share = 1
        self.latency = LatencyEwma()
        self.load = ReportedLoad()
        self.drain = ReportedDrain()
        self.listed_leaving = False
        self.ejection = OutlierEjection()
        self.limit = AdaptiveConcurrencyLimit(upstream.slots)

    @property
    def draining(self) -> bool:
        """Return whether it gets no new work: by the catalog, the platform or its own signal."""
        return self.upstream.draining or self.listed_leaving or self.drain.draining
