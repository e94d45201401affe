"""Log lines of ejected and recovered upstreams."""

import logging

from spindle_daemon.helpers.log_rate_limiter import LogRateLimiter
from spindle_decisions.routing.replica import Replica

_LOGGER = logging.getLogger(__name__)

LINES_PER_S = 20.0


class EjectionLog:
    """Logs when an upstream is ejected, and when it answers again."""

    def __init__(self) -> None:
        self.logged_ejected: set[str] = set()
        self.rate_limiter = LogRateLimiter(LINES_PER_S)

    def log_change(self, replica: Replica, reason: str, now: float) -> None:
        """Log if an upstream was ejected or recovered since its last log line."""
        ejected = replica.is_ejected(now)
        upstream_id = replica.upstream_id
        if ejected and upstream_id not in self.logged_ejected:
            self.logged_ejected.add(upstream_id)
            self._log_line("upstream-out", replica, now, reason)
        elif (
            not ejected and replica.consecutive_failures == 0 and upstream_id in self.logged_ejected
        ):
            self.logged_ejected.discard(upstream_id)
            self._log_line("upstream-back", replica, now, reason)

    def _log_line(self, event: str, replica: Replica, now: float, reason: str) -> None:
        if not self.rate_limiter.try_acquire(now):
            return
        fields = {
            "event": event,
            "upstream": replica.upstream_id,
            "service": replica.listed.service,
            "reason": reason[:160],
            "for_s": round(max(0.0, replica.ejected_until - now), 2),
            "left_out": self.rate_limiter.take_suppressed_count(),
        }
        _LOGGER.info("routed: %s", event, extra=fields)
