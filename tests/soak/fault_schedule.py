"""Drawing the faults of an episode from a seed."""

import random
from collections.abc import Mapping

from tests.soak.episode_settings import EpisodeSettings
from tests.soak.fault import Fault

MIN_DURATION_S = 0.1
# Of these at most one in an episode: more would take disks that a majority needs.
ONCE_PER_EPISODE = frozenset({"empty-disk"})


def draw_faults(
    rng: random.Random, targets: Mapping[str, tuple[str, ...]], settings: EpisodeSettings
) -> list[Fault]:
    """Return the faults of an episode, in the order in which they begin."""
    faults: list[Fault] = []
    for _ in range(rng.randint(settings.min_faults, settings.max_faults)):
        used = {fault.kind for fault in faults}
        kind = rng.choice(sorted(set(targets) - (used & ONCE_PER_EPISODE)))
        faults.append(
            Fault(
                kind,
                rng.choice(targets[kind]),
                rng.uniform(0.0, settings.start_window_s),
                rng.uniform(MIN_DURATION_S, settings.max_duration_s),
            )
        )
    return sorted(faults, key=lambda fault: fault.start_s)
