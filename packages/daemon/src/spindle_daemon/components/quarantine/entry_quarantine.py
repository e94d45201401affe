"""Quarantine of an entry instance."""

from collections.abc import Callable

import gevent

from spindle_daemon.components.quarantine.const import MAX_REPORTED, REPORT_DELAY_S
from spindle_daemon.components.quarantine.quarantine_log import QuarantineLog
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.quarantine.request_quarantine import RequestQuarantine
from spindle_decisions.wire.quarantine_update import QuarantineUpdate


class EntryQuarantine:
    """Records what this instance finds out, reports it to control instances, and merges news.

    `control_addresses` returns the control instances that get the reports.
    """

    def __init__(self, spindle: Spindle, control_addresses: Callable[[], list[str]]) -> None:
        self.spindle = spindle
        self.control_addresses = control_addresses
        self.requests = RequestQuarantine()
        self.log = QuarantineLog(self.requests)
        self.unreported: dict[str, None] = {}
        spindle.transport.register_handler(QuarantineUpdate, self._on_update)

    def is_empty(self) -> bool:
        """Return whether no request has broken a connection lately."""
        return not self.requests.entries

    def digest(self) -> str:
        """Return a digest of the suspected requests."""
        return self.requests.digest(self.spindle.clock.now())

    def record_break(
        self, fingerprint: str, request_id: str, upstream_id: str, sent_at: float
    ) -> None:
        """Record an attempt that just broke its connection, of a request without an answer."""
        now = self.spindle.clock.now()
        if self.requests.record_break(fingerprint, request_id, upstream_id, sent_at, now):
            self._on_own_finding(fingerprint)

    def record_answer(self, fingerprint: str) -> None:
        """Record that an upstream answered a request."""
        if self.requests.clear(fingerprint):
            self._on_own_finding(fingerprint)

    def synchronize(self, address: str, digest: str) -> None:
        """Send what is known here to a control instance that reported another digest."""
        news = self.requests.news_for(digest, self.spindle.clock.now())
        if news:
            self.spindle.transport.send(address, QuarantineUpdate(news))

    def expire(self) -> None:
        """Forget the requests whose suspicion has ended with time."""
        self.requests.expire(self.spindle.clock.now())

    def _on_own_finding(self, fingerprint: str) -> None:
        self.log.log_change(fingerprint, self.spindle.clock.now(), "own")
        if not self.unreported:
            gevent.spawn_later(REPORT_DELAY_S, self._report)
        self.unreported[fingerprint] = None

    def _report(self) -> None:
        names = tuple(self.unreported)[-MAX_REPORTED:]
        self.unreported.clear()
        now = self.spindle.clock.now()
        update = QuarantineUpdate(tuple(self.requests.breaks_of(name, now) for name in names))
        for address in self.control_addresses():
            self.spindle.transport.send(address, update)

    def _on_update(self, sender: str, update: QuarantineUpdate) -> None:
        now = self.spindle.clock.now()
        for item in update.items:
            if self.requests.merge(item, now):
                self.log.log_change(item.fingerprint, now, sender)
