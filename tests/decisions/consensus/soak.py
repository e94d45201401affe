"""Soak run with random faults: `python -m tests.decisions.consensus.soak --seeds 200`."""

import argparse
import random
import sys
import time

from tests.decisions.consensus.actions import VARIANTS, WEIGHTS
from tests.decisions.consensus.simulated_cluster import SimulatedCluster

STEPS = 150


def run_seed(seed: int, size: int, steps: int = STEPS) -> SimulatedCluster:
    """Run one seed and return its cluster; a violated invariant raises `AssertionError`."""
    cluster = SimulatedCluster(size, seed)
    rng = random.Random(seed)
    for _ in range(steps):
        cluster.perform(rng.choice(rng.choices(VARIANTS, WEIGHTS)[0]))
    cluster.heal_and_converge()
    return cluster


def main() -> int:
    """Run the seeds and report how many passed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    options = parser.parse_args()
    started_at = time.monotonic()
    failed: list[str] = []
    committed = reads = promotions = 0
    for seed in range(options.first, options.first + options.seeds):
        size = 3 if seed % 2 else 5
        try:
            cluster = run_seed(seed, size, options.steps)
        except AssertionError as err:
            failed.append(f"seed {seed} size {size}: {err}")
            continue
        committed += cluster.checker.last_index
        reads += cluster.checker.reads_served
        promotions += cluster.checker.promotions
    for line in failed:
        print(line)
    print(
        f"{options.seeds} seeds of {options.steps} steps, {len(failed)} failed,"
        f" {committed} entries committed, {reads} reads, {promotions} promotions,"
        f" {time.monotonic() - started_at:.1f} s"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
