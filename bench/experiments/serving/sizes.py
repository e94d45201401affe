"""The size of the deployments in serving experiments."""

import math

GROUP = "comptoir"
SERVICES = 20
REPLICAS = 2
SLOTS = 2
CONNECTIONS = 25
CONNECT_MS = 6.0
ENTRIES = 2
STANDIN_PROCESSES = 2
SIGMA = 0.1

_MS_PER_S = 1_000.0


def service_name(number: int) -> str:
    """Return the name of the service with this number, from 0."""
    return f"{GROUP}-{number + 1:02d}"


def capacity_queries_per_s(
    median_ms: float, straggler_ratio: float = 0.0, straggler_factor: float = 1.0
) -> float:
    """Return the queries per second at which every slot is continuously busy."""
    mean_ms = median_ms * math.exp(SIGMA**2 / 2) * (1 + straggler_ratio * (straggler_factor - 1))
    return REPLICAS * SLOTS * _MS_PER_S / mean_ms
