"""Ejection of an upstream after consecutive failures."""

FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
EJECTION_EXTENSION_S = 2.5


class OutlierEjection:
    """Ejects an upstream after consecutive failures, each time for twice as long.

    The policy decides per service whether an ejection takes effect, see
    `min_in_use`: false failure signals must not leave a service without replicas.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.until = float("-inf")
        self.next_duration_s = INITIAL_EJECTION_S

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected at `now`."""
        return now < self.until

    def record_failure(self, now: float) -> bool:
        """Count a failure; return true if it ejects the upstream."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        self.until = now + self.next_duration_s
        self.next_duration_s = min(MAX_EJECTION_S, 2 * self.next_duration_s)
        return True

    def extend(self, now: float) -> None:
        """Extend the ejection beyond the next probe, because a probe failed."""
        self.until = max(self.until, now + EJECTION_EXTENSION_S)

    def record_success(self) -> bool:
        """Reset the failures; return true if they had ejected the upstream."""
        ejection_ended = self.failures >= FAILURES_TO_EJECT
        self.failures = 0
        self.next_duration_s = INITIAL_EJECTION_S
        self.until = float("-inf")
        return ejection_ended


def min_in_use(replicas: int) -> int:
    """Return how many of a service's `replicas` must stay in use despite ejections."""
    return (replicas + 1) // 2
