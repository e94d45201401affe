"""The newest list of upstreams that this process has seen."""

import math

from spindle_decisions.routing.upstream_list import UpstreamList


class UpstreamListCache:
    """Keeps the list that was read last by anybody, with the time of that reading.

    Times are on the own monotonic clock: who passes a list on tells its age.
    """

    def __init__(self) -> None:
        self.newest = UpstreamList("", ())
        self.read_at = -math.inf

    def update(self, newer: UpstreamList, read_at: float) -> bool:
        """Take a list that was read later; return whether its content is new here."""
        if read_at <= self.read_at:
            return False
        changed = newer.digest != self.newest.digest
        self.newest = newer
        self.read_at = read_at
        return changed

    def refresh(self, digest: str, read_at: float) -> None:
        """Take in that the list of that digest was read again."""
        if digest and digest == self.newest.digest:
            self.read_at = max(self.read_at, read_at)

    def age_s(self, now: float) -> float:
        """Return the seconds since the list was read; infinity without one."""
        return now - self.read_at
