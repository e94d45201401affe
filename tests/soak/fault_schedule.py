"""Draws the faults of an episode from a seeded generator."""

import random
from collections.abc import Mapping

from tests.soak.episode_settings import EpisodeSettings
from tests.soak.fault import Fault

MIN_DURATION_S = 0.1
# Kinds that occur at most once in an episode: two empty disks would cost the majority its data.
ONCE_PER_EPISODE = frozenset({"empty-disk"})


def draw_faults(
    rng: random.Random, targets: Mapping[str, tuple[str, ...]], settings: EpisodeSettings
) -> list[Fault]:
    """Return the faults of an episode, ordered by start time."""
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
