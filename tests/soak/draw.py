"""Drawing the faults of an episode from a seed."""

import random
from collections.abc import Mapping

from tests.soak.fault import Fault
from tests.soak.plan import Plan

SHORTEST_S = 0.1
# Of these at most one in an episode: more would take disks that a majority needs.
ONCE = frozenset({"empty-disk"})


def draw_faults(
    rng: random.Random, targets: Mapping[str, tuple[str, ...]], plan: Plan
) -> list[Fault]:
    """Return the faults of an episode, in the order in which they begin."""
    faults: list[Fault] = []
    for _ in range(rng.randint(plan.fewest, plan.most)):
        used = {fault.kind for fault in faults}
        kind = rng.choice(sorted(set(targets) - (used & ONCE)))
        faults.append(
            Fault(
                kind,
                rng.choice(targets[kind]),
                rng.uniform(0.0, plan.span_s),
                rng.uniform(SHORTEST_S, plan.longest_s),
            )
        )
    return sorted(faults, key=lambda fault: fault.at_s)
