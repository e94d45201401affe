"""Cache of the newest list of upstreams."""

import math

from spindle_decisions.routing.upstream_list import UpstreamList


class UpstreamListCache:
    """Holds the newest list that any process read, with the time of that reading.

    Times are in seconds of this process's monotonic clock; processes that pass a list
    on send its age.
    """

    def __init__(self) -> None:
        self.newest = UpstreamList("", ())
        self.read_at = -math.inf

    def update(self, newer: UpstreamList, read_at: float) -> bool:
        """Store a list that was read later; return whether its content changed."""
        if read_at <= self.read_at:
            return False
        changed = newer.digest != self.newest.digest
        self.newest = newer
        self.read_at = read_at
        return changed

    def refresh(self, digest: str, read_at: float) -> None:
        """Update the time of reading if the list of that digest is the one held."""
        if digest and digest == self.newest.digest:
            self.read_at = max(self.read_at, read_at)

    def age_s(self, now: float) -> float:
        """Return the seconds since the list was read; infinity without a list."""
        return now - self.read_at
