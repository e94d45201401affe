"""A long run of random faults: `python -m tests.decisions.consensus.soak --seeds 200`."""

import argparse
import random
import sys
import time
from collections.abc import Callable

from tests.decisions.consensus.world import World

STEPS = 150
CHANCES = (0.0, 0.0, 0.1, 0.5, 0.9)


def weighted_acts(world: World, rng: random.Random) -> list[tuple[int, Callable[[], None]]]:
    """Return the acts and how often each is chosen."""
    return [
        (22, lambda: world.run_for(rng.choice([0.1, 0.5, 1.5]))),
        (3, lambda: world.advance(rng.choice([0.02, 0.3, 1.3]))),
        (4, lambda: world.deliver_some(rng.randint(1, 8))),
        (6, world.deliver_one),
        (3, world.drop_one),
        (4, world.duplicate_one),
        (4, lambda: world.set_faults(*(rng.choice(CHANCES) for _ in range(3)))),
        (2, world.cut_one_way),
        (2, world.isolate),
        (4, world.isolate_leader),
        (3, world.split),
        (8, world.heal),
        (12, lambda: world.calm(rng.choice([0.1, 1.5, 3.0]))),
        (4, world.sync_one),
        (3, world.crash_any),
        (3, world.crash_leader),
        (3, world.crash_leader_and_lose_its_batch),
        (8, world.restart),
        (2, world.lose_disk),
        (2, world.freeze),
        (5, world.wake),
        (1, lambda: world.jump_clock(rng.choice([0.5, 3.0, 100.0]))),
        (1, lambda: world.jump_clocks_of_followers(rng.choice([1.0, 3.0]))),
        (3, world.compact),
        (16, lambda: world.propose_some(rng.randint(1, 12))),
        (12, world.read_one),
        (1, world.remove_one),
        (1, world.add_one),
    ]


def run_seed(seed: int, size: int, steps: int = STEPS) -> World:
    """Run one seed and return the world; an `AssertionError` tells what broke."""
    world = World(size, seed)
    rng = random.Random(seed)
    acts = weighted_acts(world, rng)
    weights = [weight for weight, _ in acts]
    for _ in range(steps):
        rng.choices(acts, weights)[0][1]()
    world.heal_and_converge()
    return world


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
            world = run_seed(seed, size, options.steps)
        except AssertionError as err:
            failed.append(f"seed {seed} size {size}: {err}")
            continue
        committed += world.oracle.last_index
        reads += world.oracle.reads_served
        promotions += world.oracle.promotions
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
