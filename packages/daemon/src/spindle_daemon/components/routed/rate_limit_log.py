"""Log lines of upstreams that name a rate limit."""

import logging
from collections.abc import Container

from spindle_daemon.helpers.log_rate_limiter import LogRateLimiter
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
        self.logged: dict[str, tuple[RateLimit, float, tuple[int, ...]]] = {}
        self.rate_limiter = LogRateLimiter(LINES_PER_S)

    def log_change(self, replica: Replica, now: float) -> None:
        """Log if the limit of an upstream began or ended, or was not logged for a while."""
        limit, logged = replica.rate_limit, self.logged.get(replica.upstream_id)
        if logged is None:
            if limit is not None:
                self._log_line("upstream-limited", replica, (limit, now, (0, 0, 0)), now)
        elif limit is not logged[0]:
            self._log_line("upstream-unlimited", replica, logged, now)
            del self.logged[replica.upstream_id]
        elif now - logged[1] >= INTERVAL_S:
            self._log_line("upstream-limited", replica, logged, now)

    def retain(self, upstream_ids: Container[str]) -> None:
        """Forget the upstreams that are not listed any more."""
        self.logged = {key: value for key, value in self.logged.items() if key in upstream_ids}

    def _log_line(
        self,
        event: str,
        replica: Replica,
        logged: tuple[RateLimit, float, tuple[int, ...]],
        now: float,
    ) -> None:
        limit, logged_at, logged_counts = logged
        counts = (limit.sent_count, limit.extra_count, limit.skipped_count)
        self.logged[replica.upstream_id] = (limit, now, counts)
        if not self.rate_limiter.try_acquire(now):
            return
        sent, extra, skipped = (
            count - before for count, before in zip(counts, logged_counts, strict=True)
        )
        fields = {
            "event": event,
            "upstream": replica.upstream_id,
            "service": replica.listed.service,
            "limit": limit.per_s,
            "share": round(limit.share_per_s(), 2),
            "for_s": round(now - logged_at, 2),
            "sent": sent,
            "extra": extra,
            "skipped": skipped,
            "left_out": self.rate_limiter.take_suppressed_count(),
        }
        _LOGGER.info("routed: %s", event, extra=fields)
