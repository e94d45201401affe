"""Counting and reporting of one entry instance."""

import logging

import gevent
import xxhash

from spindle_daemon.components.account import const
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.account.minute_counter import MinuteCounter
from spindle_decisions.account.minute_summary import MinuteSummary, encode_summary
from spindle_decisions.account.query_record import QueryRecord
from spindle_decisions.account.summary_outbox import SummaryOutbox
from spindle_decisions.wire.summary_ack import SummaryAck
from spindle_decisions.wire.summary_report import SummaryReport

_LOGGER = logging.getLogger(__name__)


class AccountCoordinator:
    """Feeds the minute counter and sends what it yields; implements `AccountSink`.

    The open minute is sent as a checkpoint every ten seconds and at the start,
    so a crash loses at most the counts since then.
    """

    def __init__(self, spindle: Spindle) -> None:
        self.spindle = spindle
        self.instance = spindle.settings.instance.name
        addresses = tuple(control.address for control in spindle.settings.controls)
        first = xxhash.xxh32_intdigest(self.instance.encode())
        self.outbox = SummaryOutbox(addresses, first)
        self.counter = MinuteCounter(
            self.instance,
            spindle.incarnation,
            spindle.settings.instance.data_center,
            self._is_known,
            spindle.clock.wall_ms(),
        )
        self.checkpoint_at = spindle.clock.now()
        self.given_up_logged = 0
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to report."""
        self.greenlet = gevent.spawn(self._run_forever)

    def record_arrival(self, group: str) -> None:
        """Count a request at its arrival."""
        self.counter.arrived(group)

    def record_finished(self, record: QueryRecord) -> None:
        """Count how a request ended."""
        self.counter.finished(record)

    def record_probe(self, group: str) -> None:
        """Count a sub-request sent only to probe an upstream."""
        self.counter.probed(group)

    def on_ack(self, sender: str, ack: SummaryAck) -> None:
        """Forget what a control instance has on disk."""
        if ack.instance != self.instance or ack.incarnation != self.spindle.incarnation:
            return
        self.outbox.acked(ack.minute, ack.revision)

    def tick(self) -> None:
        """Close the minute if it is over, checkpoint it if that is due, and send."""
        self._collect()
        self._send()

    def stop(self) -> None:
        """Hand over all counts; wait for the confirmations, but not for ever."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self._collect()
        self._put(self.counter.close(self.spindle.clock.wall_ms()))
        deadline = self.spindle.clock.now() + const.FLUSH_TIMEOUT_S
        while self.outbox.minutes and self.spindle.clock.now() < deadline:
            self._send()
            gevent.sleep(const.FLUSH_POLL_S)
        if self.outbox.minutes:
            _LOGGER.error("account: %s minutes not handed over", len(self.outbox.minutes))
            return
        _LOGGER.info("account: all minutes handed over")

    def _run_forever(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                _LOGGER.exception("account: tick failed")
            gevent.sleep(const.TICK_S)

    def _collect(self) -> None:
        closed = self.counter.tick(self.spindle.clock.wall_ms())
        if closed is not None:
            self._put(closed)
        now = self.spindle.clock.now()
        if closed is None and now < self.checkpoint_at:
            return
        self.checkpoint_at = now + const.CHECKPOINT_S
        self._put(self.counter.checkpoint())

    def _put(self, summary: MinuteSummary) -> None:
        self.outbox.put(summary.minute, summary.revision, encode_summary(summary))
        if self.outbox.given_up > self.given_up_logged:
            self.given_up_logged = self.outbox.given_up
            _LOGGER.error("account: gave up %s minutes in all", self.outbox.given_up)

    def _send(self) -> None:
        for send in self.outbox.due(self.spindle.clock.now()):
            self.spindle.transport.send(
                send.address,
                SummaryReport(
                    self.instance,
                    self.spindle.incarnation,
                    send.minute,
                    self.spindle.settings.mesh.advertise,
                    send.data,
                ),
            )

    def _is_known(self, group: str) -> bool:
        return group in self.spindle.catalog.index.groups
