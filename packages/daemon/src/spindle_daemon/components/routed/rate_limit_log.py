"""Log lines of upstreams that name a rate limit."""

import logging

from spindle_daemon.components.routed.log_rate_limiter import LogRateLimiter
from spindle_decisions.routing.rate_limit import RateLimit
from spindle_decisions.routing.replica import Replica

_LOGGER = logging.getLogger(__name__)

LINES_PER_S = 20.0
# A limit that holds is logged once in this many seconds.
INTERVAL_S = 4.0


class RateLimitLog:
    """Logs when an upstream names a rate limit, what is sent while it holds, and its end."""

    def __init__(self) -> None:
        # By upstream: the limit, and the time and the counts of its last line.
        self.logged: dict[str, tuple[RateLimit, float, int, int]] = {}
        self.rate_limiter = LogRateLimiter(LINES_PER_S)

    def log_change(self, replica: Replica, now: float) -> None:
        """Log if the limit of an upstream began or ended, or was not logged for a while."""
        limit, logged = replica.rate_limit, self.logged.get(replica.upstream_id)
        if logged is None:
            if limit is not None:
                self._log_line("upstream-limited", replica, limit, (limit, now, 0, 0), now)
        elif limit is not logged[0]:
            del self.logged[replica.upstream_id]
            self._log_line("upstream-unlimited", replica, logged[0], logged, now)
        elif now - logged[1] >= INTERVAL_S:
            self._log_line("upstream-limited", replica, limit, logged, now)

    def _log_line(
        self,
        event: str,
        replica: Replica,
        limit: RateLimit,
        logged: tuple[RateLimit, float, int, int],
        now: float,
    ) -> None:
        _, logged_at, sent_count, extra_count = logged
        if event == "upstream-limited":
            counts = (limit.sent_count, limit.extra_count)
            self.logged[replica.upstream_id] = (limit, now, *counts)
        if not self.rate_limiter.try_acquire(now):
            return
        fields = {
            "event": event,
            "upstream": replica.upstream_id,
            "service": replica.listed.service,
            "limit": limit.per_s,
            "for_s": round(now - logged_at, 2),
            "sent": limit.sent_count - sent_count,
            "extra": limit.extra_count - extra_count,
            "left_out": self.rate_limiter.take_suppressed_count(),
        }
        _LOGGER.info("routed: %s", event, extra=fields)
