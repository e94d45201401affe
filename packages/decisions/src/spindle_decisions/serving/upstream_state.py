"""What this instance knows about one upstream."""

from spindle_decisions.catalog.upstream import Upstream
from spindle_decisions.serving.adaptive_concurrency_limit import AdaptiveConcurrencyLimit
from spindle_decisions.serving.latency_ewma import LatencyEwma
from spindle_decisions.serving.outlier_ejection import OutlierEjection
from spindle_decisions.serving.reported_drain import ReportedDrain
from spindle_decisions.serving.reported_load import ReportedLoad
from spindle_decisions.serving.snapshot_id import SnapshotId


class UpstreamState:
    """Own observations of an upstream first, what it reports second.

    `share` is how many connections this instance may hold to it. `since` is
    when this instance began to use it, from which slow start counts.
    """

    def __init__(self, upstream: Upstream, since: float) -> None:
        self.upstream = upstream
        self.name = upstream.name
        self.in_use_since = since
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
        """Tell whether new work is forbidden: by catalog, platform or the upstream itself."""
        return self.upstream.draining or self.listed_leaving or self.drain.draining
