"""Duration and intensity of an episode."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EpisodeSettings:
    """Start window and maximum duration of the faults of an episode, and limits of their number."""

    start_window_s: float
    max_duration_s: float
    min_faults: int
    max_faults: int


FULL = EpisodeSettings(start_window_s=14.0, max_duration_s=6.0, min_faults=4, max_faults=9)
SHORT = EpisodeSettings(start_window_s=5.0, max_duration_s=2.0, min_faults=3, max_faults=5)
