"""Pseudo-random service times."""

import math
import random

from spindle_devkit.upstream.behavior import Behavior

_MS_PER_S = 1000.0


class ServiceTimes:
    """Draws service times; equal seeds and parameters give equal sequences."""

    def __init__(
        self, rng: random.Random, sigma: float, cold_start_s: float, cold_factor: float
    ) -> None:
        self.rng = rng
        self.sigma = sigma
        self.cold_start_s = cold_start_s
        self.cold_factor = cold_factor

    def draw_s(self, behavior: Behavior, now: float) -> float:
        """Return the service time in seconds of an execution that starts at `now`.

        Every call draws exactly two random numbers, so that changed parameters do
        not shift later draws.
        """
        variation = math.exp(self.sigma * self.rng.gauss(0.0, 1.0))
        is_straggler = self.rng.random() < behavior.straggler_ratio
        factor = behavior.straggler_factor if is_straggler else 1.0
        return (
            behavior.median_ms
            / _MS_PER_S
            * variation
            * factor
            * self._cold_start_factor(behavior, now)
        )

    def _cold_start_factor(self, behavior: Behavior, now: float) -> float:
        remaining_s = behavior.cold_until - now
        if remaining_s <= 0 or self.cold_start_s <= 0:
            return 1.0
        return 1.0 + (self.cold_factor - 1.0) * min(1.0, remaining_s / self.cold_start_s)
