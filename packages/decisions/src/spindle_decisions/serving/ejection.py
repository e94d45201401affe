"""Ejection of an upstream that keeps failing."""

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
PROLONG_S = 2.5


class Ejection:
    """Consecutive failures eject an upstream for a time that doubles.

    Whether an ejection takes effect is decided per service, see
    `ejection_floor`: a signal that is wrong must not empty a service.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.until = float("-inf")
        self.length_s = FIRST_EJECTION_S

    def ejected(self, now: float) -> bool:
        """Tell whether the upstream is ejected at this time."""
        return now < self.until

    def failed(self, now: float) -> bool:
        """Count a failure; return true when it ejects the upstream."""
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or self.ejected(now):
            return False
        self.until = now + self.length_s
        self.length_s = min(LONGEST_EJECTION_S, 2 * self.length_s)
        return True

    def prolong(self, now: float) -> None:
        """Stay ejected until well after the next probe, since this one failed."""
        self.until = max(self.until, now + PROLONG_S)

    def succeeded(self) -> bool:
        """Count a success; return true when it ends a run of failures that ejected."""
        restored = self.failures >= FAILURES_TO_EJECT
        self.failures = 0
        self.length_s = FIRST_EJECTION_S
        self.until = float("-inf")
        return restored


def ejection_floor(replicas: int) -> int:
    """Return how many of the replicas of a service always stay in use."""
    return (replicas + 1) // 2
