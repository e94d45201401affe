"""The workload of a serving experiment."""

from dataclasses import dataclass

from bench.experiments.serving import sizes
from bench.experiments.serving.serving_arm import Pairs


@dataclass(frozen=True)
class Workload:
    """The load and the upstreams; `load_factor` is the offered load over the slots' capacity."""

    load_factor: float
    duration_s: float
    warm_up_s: float
    median_ms: float
    straggler_ratio: float = 0.0
    straggler_factor: float = 1.0
    deadline_ms: int = 3_000
    entries: int = sizes.ENTRIES
    own_process: frozenset[str] = frozenset()

    @property
    def capacity_per_s(self) -> float:
        """Queries per second at which every slot is continuously busy."""
        return sizes.capacity_queries_per_s(
            self.median_ms, self.straggler_ratio, self.straggler_factor
        )

    @property
    def rate_per_s(self) -> float:
        """Offered queries per second."""
        return self.load_factor * self.capacity_per_s

    def upstream_settings(self) -> Pairs:
        """Return the settings of the stand-in upstreams."""
        return (
            ("connect-ms", str(sizes.CONNECT_MS)),
            ("median-ms", str(self.median_ms)),
            ("sigma", str(sizes.SIGMA)),
            ("straggler-ratio", str(self.straggler_ratio)),
            ("straggler-factor", str(self.straggler_factor)),
        )
