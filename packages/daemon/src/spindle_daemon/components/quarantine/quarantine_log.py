"""Log lines about requests in quarantine."""

import logging

from spindle_daemon.components.quarantine.const import LOG_LINES_PER_S
from spindle_daemon.helpers.log_rate_limiter import LogRateLimiter
from spindle_decisions.quarantine.const import MAX_ENTRIES
from spindle_decisions.quarantine.request_quarantine import RequestQuarantine
from spindle_decisions.quarantine.verdict import Verdict

_LOGGER = logging.getLogger(__name__)

_EVENTS = {
    Verdict.NORMAL: "request-cleared",
    Verdict.TRIAL: "request-suspected",
    Verdict.BLOCKED: "request-quarantined",
}


class QuarantineLog:
    """Logs when a request is suspected, blocked or cleared."""

    def __init__(self, quarantine: RequestQuarantine) -> None:
        self.quarantine = quarantine
        self.logged: dict[str, Verdict] = {}
        self.rate_limiter = LogRateLimiter(LOG_LINES_PER_S)

    def log_change(self, fingerprint: str, now: float, source: str) -> None:
        """Log if the verdict on a request has changed; `source` is where the news come from."""
        verdict = self.quarantine.verdict(fingerprint, now)
        if verdict is self.logged.get(fingerprint, Verdict.NORMAL):
            return
        if verdict is Verdict.NORMAL:
            del self.logged[fingerprint]
        else:
            self.logged[fingerprint] = verdict
            self._drop_expired(now)
        if not self.rate_limiter.try_acquire(now):
            return
        breaks = self.quarantine.breaks_of(fingerprint, now).breaks
        fields = {
            "event": _EVENTS[verdict],
            "fingerprint": fingerprint,
            "requests": sorted({request_id for request_id, _ in breaks}),
            "upstreams": sorted({upstream_id for _, upstream_id in breaks}),
            "source": source,
            "left_out": self.rate_limiter.take_suppressed_count(),
        }
        _LOGGER.warning("quarantine: %s", _EVENTS[verdict], extra=fields)

    def _drop_expired(self, now: float) -> None:
        """Forget suspicions that ended with time, once there are many."""
        if len(self.logged) > MAX_ENTRIES:
            self.logged = {
                fingerprint: verdict
                for fingerprint, verdict in self.logged.items()
                if self.quarantine.verdict(fingerprint, now) is not Verdict.NORMAL
            }
