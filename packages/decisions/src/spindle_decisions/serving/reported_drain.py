"""The drain signal that an upstream reports about itself."""

DRAIN_HOLD_S = 5.0


class ReportedDrain:
    """Tracks whether the upstream reports that it is draining.

    Reports come in the headers of answers and in answers to status requests. The
    first report of draining starts the drain. A report of not draining ends it only
    `DRAIN_HOLD_S` after the last report of draining, as status reports may lag
    behind the headers.
    """

    def __init__(self) -> None:
        self.draining = False
        self.last_reported_at = float("-inf")

    def report(self, draining: bool, now: float) -> bool:
        """Apply a report; return true if it starts a drain."""
        if draining:
            starts = not self.draining
            self.draining = True
            self.last_reported_at = now
            return starts
        if now - self.last_reported_at >= DRAIN_HOLD_S:
            self.draining = False
        return False
