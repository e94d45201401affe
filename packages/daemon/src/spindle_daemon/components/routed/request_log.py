"""Log lines and counts of routed requests."""

import logging
from collections.abc import Mapping

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_stats import RoutedStats
from spindle_daemon.components.routed.timeline_events import record_request_events
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_daemon.helpers.log_rate_limiter import LogRateLimiter
from spindle_decisions.exceptions import SpindleError
from spindle_decisions.routing.attempt_cause import FIRST
from spindle_decisions.util.units import MS_PER_S

_LOGGER = logging.getLogger(__name__)

KIND_GATHER = "gather"
KIND_SINGLE = "single"
KIND_NONE = "none"
MAX_NOT_SENT_NAMES = 5


class RoutedRequestLog:
    """Logs each request with an incident, and a sample of the others.

    An incident is a failed or extra attempt, a missing part, a refusal or a disconnect.
    Lines above a rate are suppressed, and a line reports how many. A request that has
    a line is added to the timeline too.
    """

    def __init__(self, clock: Clock, stats: RoutedStats, timeline: TimelineSink) -> None:
        self.clock = clock
        self.stats = stats
        self.timeline = timeline
        self.rate_limiter = LogRateLimiter(const.LOG_LINES_PER_S)
        self.plain_count = 0

    def log_answer(
        self, request_id: str, arrived_at: float, trace: RequestTrace, status: int
    ) -> None:
        """Log an answer; of those without incidents only one in `LOG_SAMPLE_EVERY`."""
        self._count("answered" if status < 400 else "passed-failure", arrived_at, trace)
        is_plain = (
            not trace.failures and not trace.extra_attempts and trace.end_reason in ("", "whole")
        )
        if not is_plain:
            self._log_line("answered", request_id, arrived_at, trace, {"status": status})
            return
        self.plain_count += 1
        if self.plain_count % const.LOG_SAMPLE_EVERY == 0:
            fields = {"status": status, "one_in": const.LOG_SAMPLE_EVERY}
            self._log_line("answered", request_id, arrived_at, trace, fields)

    def log_refusal(
        self, request_id: str, arrived_at: float, trace: RequestTrace, err: SpindleError
    ) -> None:
        """Log a refusal with its code and reason."""
        self._count(err.code, arrived_at, trace)
        fields = {"code": err.code, "reason": str(err)[:200]}
        self._log_line("refused", request_id, arrived_at, trace, fields)

    def log_disconnect(self, request_id: str, arrived_at: float, trace: RequestTrace) -> None:
        """Log that the caller disconnected."""
        self._count("caller-left", arrived_at, trace)
        self._log_line("left", request_id, arrived_at, trace, {})

    def _count(self, outcome: str, arrived_at: float, trace: RequestTrace) -> None:
        kind = KIND_NONE
        if trace.route:
            kind = KIND_GATHER if trace.shard_count else KIND_SINGLE
        self.stats.record_finished(outcome, kind, self.clock.now() - arrived_at)
        self.stats.missing_parts += trace.shard_count - trace.part_count
        extra_attempts = sum(trace.extra_attempts.values())
        self.stats.record_attempts(FIRST, trace.attempt_count - extra_attempts)
        for cause, count in trace.extra_attempts.items():
            self.stats.record_attempts(cause, count)

    def _log_line(
        self,
        event: str,
        request_id: str,
        arrived_at: float,
        trace: RequestTrace,
        more_fields: Mapping[str, object],
    ) -> None:
        now = self.clock.now()
        if not self.rate_limiter.try_acquire(now):
            return
        suppressed_count = self.rate_limiter.take_suppressed_count()
        if suppressed_count:
            _LOGGER.warning(
                "routed: log lines suppressed",
                extra={"event": "lines-left-out", "count": suppressed_count},
            )
        took_ms = round((now - arrived_at) * MS_PER_S, 1)
        fields: dict[str, object] = {
            "event": event,
            "id": request_id[:64],
            "route": trace.route,
            "ms": took_ms,
            "sends": trace.attempt_count,
            **trace.decision_inputs,
        }
        if trace.shard_count:
            fields.update(end=trace.end_reason, parts=trace.part_count, shards=trace.shard_count)
        elif trace.upstream:
            fields["upstream"] = trace.upstream
        if trace.not_sent_shards:
            fields["unsent"] = [
                len(trace.not_sent_shards),
                *trace.not_sent_shards[:MAX_NOT_SENT_NAMES],
            ]
        if trace.limited_shard_count:
            fields["limited"] = trace.limited_shard_count
        if trace.broken_count:
            fields.update(broken=trace.broken_count, fingerprint=trace.fingerprint)
        fields.update(trace.extra_attempts)
        if trace.failures:
            fields["notes"] = trace.failures
        fields.update(more_fields)
        _LOGGER.info("routed: %s", event, extra=fields)
        outcome = " ".join(
            str(more_fields[name]) for name in ("code", "status", "reason") if name in more_fields
        )
        record_request_events(
            self.timeline, request_id[:64], trace, f"{event} {outcome}".strip(), took_ms
        )
