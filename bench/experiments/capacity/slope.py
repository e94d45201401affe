"""Costs at several sizes and their linear regression."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence

from bench.experiments.figures import Figures

US_PER_S = 1e6


def cpu_us(work: Callable[[], object], repeats: int) -> float:
    """Return the CPU time of one call in microseconds, as the median of five rounds."""
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(repeats):
            work()
        rounds.append((time.process_time() - started) * US_PER_S / repeats)
    return statistics.median(rounds)


def held_bytes(build: Callable[[], object]) -> float:
    """Return the bytes of Python memory that the built object occupies."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)


def fit(unit: str, sizes: Sequence[float], costs: Sequence[float]) -> Figures:
    """Return the costs with their linear fit `base + slope * size` and its R squared."""
    line = statistics.linear_regression(sizes, costs)
    correlation = statistics.correlation(sizes, costs)
    return {
        "unit": unit,
        "sizes": [float(size) for size in sizes],
        "costs": [round(cost, 3) for cost in costs],
        "slope": round(line.slope, 4),
        "base": round(line.intercept, 3),
        "r_squared": round(correlation**2, 4),
    }
