"""The settings of the load generator."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint


@dataclass(frozen=True)
class LoadSettings:
    """Queries to a group at a mean rate, distributed round robin over entry instances.

    Arrivals are a Poisson process of `rate_per_s` for `duration_s`, drawn from
    `seed`. An answer that took more than `late_ms` is late. `prefix` is part of
    the mark of each query and distinguishes several loads on one deployment.
    """

    group: str
    entries: tuple[Endpoint, ...]
    rate_per_s: float
    duration_s: float
    seed: int = 1
    deadline_ms: int = 1_000
    min_coverage: float = 0.0
    late_ms: float = 330.0
    prefix: str = "load"
