"""A request that broke connections to upstreams and was not answered since."""

from spindle_decisions.quarantine import const
from spindle_decisions.quarantine.crash import Crash


class QuarantineEntry:
    """The crashes that requests of callers with one fingerprint were part of.

    However many equal requests an upstream runs when it crashes, that is one crash. Only a
    request that was sent after a crash can be part of another one.
    """

    def __init__(self, broken_at: float) -> None:
        # In the order of `sent_at`.
        self.crashes: list[Crash] = []
        self.broken_at = broken_at

    def add(self, request_id: str, upstream_id: str, sent_at: float, broken_at: float) -> bool:
        """Add a broken attempt; return whether that is news."""
        self.broken_at = max(self.broken_at, broken_at)
        for crash in self.crashes:
            if crash.includes(request_id, sent_at, broken_at):
                return self._add_upstream(crash, request_id, upstream_id, broken_at)
        if len(self.crashes) >= const.BLOCK_CRASHES:
            return False
        self.crashes.append(Crash(request_id, sent_at, broken_at, {upstream_id}))
        self.crashes.sort(key=lambda crash: crash.sent_at)
        return True

    def _add_upstream(
        self, crash: Crash, request_id: str, upstream_id: str, broken_at: float
    ) -> bool:
        if request_id == crash.request_id:
            crash.broken_at = max(crash.broken_at, broken_at)
        is_full = len(crash.upstreams) >= const.MAX_UPSTREAMS_PER_CRASH
        if upstream_id in crash.upstreams or is_full:
            return False
        crash.upstreams.add(upstream_id)
        return True

    def is_suspect(self) -> bool:
        """Return whether enough attempts broke to suspect the request."""
        return sum(len(crash.upstreams) for crash in self.crashes) >= const.SUSPECT_BREAKS

    def is_blocked(self) -> bool:
        """Return whether it is taken for certain that the request crashes upstreams."""
        return len(self.crashes) >= const.BLOCK_CRASHES

    def pairs(self) -> tuple[tuple[str, str], ...]:
        """Return request and upstream of each break that is kept, in order."""
        return tuple(
            (crash.request_id, upstream_id)
            for crash in self.crashes
            for upstream_id in sorted(crash.upstreams)
        )
