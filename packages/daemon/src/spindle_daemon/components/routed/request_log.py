"""The log lines of routed requests."""

import logging
from collections.abc import Iterable

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.run_record import RunRecord
from spindle_daemon.core.clock import Clock
from spindle_decisions.exceptions import SpindleError
from spindle_decisions.util.units import MS_PER_S

_LOGGER = logging.getLogger(__name__)


class RoutedLog:
    """One line for each request that did not end plainly, and for a sample of the others."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.plain = 0

    def answered(self, request_id: str, arrived_at: float, record: RunRecord, status: int) -> None:
        """Log an answer; plain ones only once in `LOG_SAMPLE`."""
        plain = not record.notes and not record.repeats and record.end in ("", "whole")
        if plain:
            self.plain += 1
            if self.plain % const.LOG_SAMPLE:
                return
        self._line("answered", request_id, arrived_at, record, (("status", status),))

    def refused(
        self, request_id: str, arrived_at: float, record: RunRecord, err: SpindleError
    ) -> None:
        """Log a refusal with its code."""
        self._line("refused", request_id, arrived_at, record, (("code", err.code),))

    def left(self, request_id: str, arrived_at: float, record: RunRecord) -> None:
        """Log a caller that left."""
        self._line("left", request_id, arrived_at, record, ())

    def _line(
        self,
        event: str,
        request_id: str,
        arrived_at: float,
        record: RunRecord,
        more: Iterable[tuple[str, object]],
    ) -> None:
        fields: dict[str, object] = {
            "event": event,
            "id": request_id[:64],
            "route": record.route,
            "ms": round((self.clock.now() - arrived_at) * MS_PER_S, 1),
            "sends": record.sends,
        }
        if record.shards:
            fields.update(end=record.end, parts=record.parts, shards=record.shards)
        elif record.upstream:
            fields["upstream"] = record.upstream
        fields.update(record.repeats)
        if record.notes:
            fields["notes"] = record.notes
        fields.update(more)
        _LOGGER.info("routed: %s", event, extra=fields)
