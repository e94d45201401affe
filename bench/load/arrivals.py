"""Arrival times of requests."""

import random
from collections.abc import Iterator


def poisson_arrivals(rng: random.Random, rate_per_s: float, duration_s: float) -> Iterator[float]:
    """Yield the arrival times of a Poisson process in seconds after its start."""
    at_s = rng.expovariate(rate_per_s)
    while at_s < duration_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)
