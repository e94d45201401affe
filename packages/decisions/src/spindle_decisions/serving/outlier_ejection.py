"""Ejection of an upstream that keeps failing."""

FAILURES_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
EJECTION_EXTENSION_S = 2.5


class OutlierEjection:
    """Consecutive failures eject an upstream for a time that doubles.

    Whether an ejection takes effect is decided per service, see
    `ejection_floor`: a signal that is wrong must not empty a service.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.until = float("-inf")
        self.next_duration_s = INITIAL_EJECTION_S

    def is_ejected(self, now: float) -> bool:
        """Tell whether the upstream is ejected at this time."""
        return now < self.until

    def record_failure(self, now: float) -> bool:
        """Count a failure; return true when it ejects the upstream."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        self.until = now + self.next_duration_s
        self.next_duration_s = min(MAX_EJECTION_S, 2 * self.next_duration_s)
        return True

    def extend(self, now: float) -> None:
        """Stay ejected until well after the next probe, since this one failed."""
        self.until = max(self.until, now + EJECTION_EXTENSION_S)

    def record_success(self) -> bool:
        """Count a success; return true when it ends a run of failures that ejected."""
        ejection_ended = self.failures >= FAILURES_TO_EJECT
        self.failures = 0
        self.next_duration_s = INITIAL_EJECTION_S
        self.until = float("-inf")
        return ejection_ended


def min_in_use(replicas: int) -> int:
    """Return how many of the replicas of a service always stay in use."""
    return (replicas + 1) // 2
