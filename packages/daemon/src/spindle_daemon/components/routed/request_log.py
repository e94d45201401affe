"""The log lines and counts of routed requests."""

import logging
from collections.abc import Mapping

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.log_rate_limiter import LogRateLimiter
from spindle_daemon.components.routed.request_trace import RequestTrace
from spindle_daemon.components.routed.routed_stats import RoutedStats
from spindle_daemon.components.routed.timeline_events import record_request_events
from spindle_daemon.core.clock import Clock
from spindle_daemon.core.timeline_sink import TimelineSink
from spindle_decisions.exceptions import SpindleError
from spindle_decisions.routing.attempt_cause import FIRST
from spindle_decisions.util.units import MS_PER_S

_LOGGER = logging.getLogger(__name__)

KIND_GATHER = "gather"
KIND_SINGLE = "single"
KIND_NONE = "none"
MAX_NOT_SENT_NAMES = 5


class RoutedRequestLog:
    """One line for each request that did not end plainly, and for a sample of the others.

    Beyond a rate lines are left out, and a line says how many. What has a line is on
    the time line as well.
    """

    def __init__(self, clock: Clock, stats: RoutedStats, timeline: TimelineSink) -> None:
        self.clock = clock
        self.stats = stats
        self.timeline = timeline
        self.rate = LogRateLimiter(const.LOG_LINES_PER_S)
        self.plain = 0

    def answered(
        self, request_id: str, arrived_at: float, record: RequestTrace, status: int
    ) -> None:
        """Log an answer; plain ones only once in `LOG_SAMPLE`."""
        self._count("answered" if status < 400 else "passed-failure", arrived_at, record)
        plain = not record.notes and not record.repeats and record.end in ("", "whole")
        if not plain:
            self._line("answered", request_id, arrived_at, record, {"status": status})
            return
        self.plain += 1
        if self.plain % const.LOG_SAMPLE_EVERY == 0:
            fields = {"status": status, "one_in": const.LOG_SAMPLE_EVERY}
            self._line("answered", request_id, arrived_at, record, fields)

    def refused(
        self, request_id: str, arrived_at: float, record: RequestTrace, err: SpindleError
    ) -> None:
        """Log a refusal with its code and reason."""
        self._count(err.code, arrived_at, record)
        fields = {"code": err.code, "reason": str(err)[:200]}
        self._line("refused", request_id, arrived_at, record, fields)

    def left(self, request_id: str, arrived_at: float, record: RequestTrace) -> None:
        """Log a caller that left."""
        self._count("caller-left", arrived_at, record)
        self._line("left", request_id, arrived_at, record, {})

    def _count(self, outcome: str, arrived_at: float, record: RequestTrace) -> None:
        kind = KIND_NONE
        if record.route:
            kind = KIND_GATHER if record.shards else KIND_SINGLE
        self.stats.ended(outcome, kind, self.clock.now() - arrived_at)
        self.stats.missing_parts += record.shards - record.parts
        repeats = sum(record.repeats.values())
        self.stats.sent(FIRST, record.sends - repeats)
        for cause, count in record.repeats.items():
            self.stats.sent(cause, count)

    def _line(
        self,
        event: str,
        request_id: str,
        arrived_at: float,
        record: RequestTrace,
        more: Mapping[str, object],
    ) -> None:
        now = self.clock.now()
        if not self.rate.allows(now):
            return
        left_out = self.rate.take_left_out()
        if left_out:
            _LOGGER.warning(
                "routed: lines left out", extra={"event": "lines-left-out", "count": left_out}
            )
        took_ms = round((now - arrived_at) * MS_PER_S, 1)
        fields: dict[str, object] = {
            "event": event,
            "id": request_id[:64],
            "route": record.route,
            "ms": took_ms,
            "sends": record.sends,
            **record.beliefs,
        }
        if record.shards:
            fields.update(end=record.end, parts=record.parts, shards=record.shards)
        elif record.upstream:
            fields["upstream"] = record.upstream
        if record.unsent:
            fields["unsent"] = [len(record.unsent), *record.unsent[:MAX_NOT_SENT_NAMES]]
        fields.update(record.repeats)
        if record.notes:
            fields["notes"] = record.notes
        fields.update(more)
        _LOGGER.info("routed: %s", event, extra=fields)
        ended = " ".join(str(more[name]) for name in ("code", "status", "reason") if name in more)
        record_request_events(
            self.timeline, request_id[:64], record, f"{event} {ended}".strip(), took_ms
        )
