"""A request that broke connections to upstreams and was not answered since."""

from spindle_decisions.quarantine import const


class QuarantineEntry:
    """The broken attempts of all requests of callers with one fingerprint.

    `breaks` maps the id of a caller's request to the upstreams that ended its attempts. It is
    a bounded union: merging the same news twice changes nothing.
    """

    def __init__(self, broken_at: float) -> None:
        self.breaks: dict[str, set[str]] = {}
        self.broken_at = broken_at

    def add(self, request_id: str, upstream_id: str, broken_at: float) -> bool:
        """Add a broken attempt; return whether that is news."""
        self.broken_at = max(self.broken_at, broken_at)
        upstreams = self.breaks.get(request_id)
        if upstreams is None:
            if len(self.breaks) >= const.BLOCK_REQUESTS:
                return False
            upstreams = self.breaks[request_id] = set()
        if upstream_id in upstreams or len(upstreams) >= const.MAX_BREAKS_PER_REQUEST:
            return False
        upstreams.add(upstream_id)
        return True

    def is_suspect(self) -> bool:
        """Return whether enough attempts broke to suspect the request."""
        return sum(map(len, self.breaks.values())) >= const.SUSPECT_BREAKS

    def is_blocked(self) -> bool:
        """Return whether it is taken for certain that the request crashes upstreams."""
        return self.is_suspect() and len(self.breaks) >= const.BLOCK_REQUESTS

    def pairs(self) -> tuple[tuple[str, str], ...]:
        """Return the broken attempts in order."""
        return tuple(
            (request_id, upstream_id)
            for request_id in sorted(self.breaks)
            for upstream_id in sorted(self.breaks[request_id])
        )
