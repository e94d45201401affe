"""Log lines of upstreams that are leaving or ask for a rest."""

import logging

from spindle_daemon.helpers.log_rate_limiter import LogRateLimiter
from spindle_decisions.routing.replica import Replica

_LOGGER = logging.getLogger(__name__)

LINES_PER_S = 20.0


class UpstreamNoticeLog:
    """Logs what upstreams say of themselves in their answers."""

    def __init__(self) -> None:
        self.rate_limiter = LogRateLimiter(LINES_PER_S)

    def log_leaving(self, replica: Replica, now: float) -> None:
        """Log that an upstream said for the first time that it is leaving."""
        self._log("upstream-leaving", replica, now, 0.0)

    def log_staying(self, replica: Replica, now: float) -> None:
        """Log that an upstream that was leaving answered a health check as usual."""
        self._log("upstream-staying", replica, now, 0.0)

    def log_rest(self, replica: Replica, now: float, seconds: float) -> None:
        """Log that an upstream asked for no requests for some seconds."""
        self._log("upstream-resting", replica, now, seconds)

    def _log(self, event: str, replica: Replica, now: float, seconds: float) -> None:
        if not self.rate_limiter.try_acquire(now):
            return
        fields = {
            "event": event,
            "upstream": replica.upstream_id,
            "service": replica.listed.service,
            "for_s": round(seconds, 2),
            "left_out": self.rate_limiter.take_suppressed_count(),
        }
        _LOGGER.info("routed: %s", event, extra=fields)
