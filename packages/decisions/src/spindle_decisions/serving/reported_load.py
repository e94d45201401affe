"""The load that an upstream reports about itself."""

HALF_LIFE_S = 0.3


class ReportedLoad:
    """The last report of requests in flight per slot, a hint that fades.

    Reports lag or mislead, so the hint loses half its weight every
    `HALF_LIFE_S` and is capped by whoever uses it.
    """

    def __init__(self) -> None:
        self.per_slot = 0.0
        self.reported_at = float("-inf")

    def report(self, in_flight: int, slots: int, now: float) -> None:
        """Take in a report."""
        self.per_slot = in_flight / max(1, slots)
        self.reported_at = now

    def hint(self, now: float) -> float:
        """Return the reported load per slot, faded by its age."""
        age = now - self.reported_at
        return float(self.per_slot * 0.5 ** (age / HALF_LIFE_S))
