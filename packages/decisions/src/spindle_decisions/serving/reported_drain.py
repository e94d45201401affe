"""The drain signal of an upstream."""

DRAIN_HOLD_S = 5.0


class ReportedDrain:
    """Whether the upstream says that it drains.

    The signal counts from the first report, by an answer's header or by a
    status. Status reports may lag behind the header, so it is withdrawn only
    by a report at least `HOLD_S` later.
    """

    def __init__(self) -> None:
        self.draining = False
        self.last_seen = float("-inf")

    def report(self, draining: bool, now: float) -> bool:
        """Take in a report; return true when it is the first of a drain."""
        if draining:
            first = not self.draining
            self.draining = True
            self.last_seen = now
            return first
        if now - self.last_seen >= DRAIN_HOLD_S:
            self.draining = False
        return False
