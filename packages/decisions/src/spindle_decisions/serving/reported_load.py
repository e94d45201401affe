"""The load that an upstream reports about itself."""

HALF_LIFE_S = 0.3


class ReportedLoad:
    """The last reported number of requests in flight per slot, decayed over time.

    Reports may be late or wrong, so the value halves every `HALF_LIFE_S`, and
    `replica_score` caps it.
    """

    def __init__(self) -> None:
        self.per_slot = 0.0
        self.reported_at = float("-inf")

    def report(self, in_flight: int, slots: int, now: float) -> None:
        """Store a report."""
        self.per_slot = in_flight / max(1, slots)
        self.reported_at = now

    def hint(self, now: float) -> float:
        """Return the reported load per slot, decayed by its age."""
        age_s = now - self.reported_at
        return float(self.per_slot * 0.5 ** (age_s / HALF_LIFE_S))
