"""Counts the requests of one entry instance and reports them to control."""

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
    """Counts requests per minute and sends the summaries; implements `AccountSink`.

    A checkpoint of the open minute is sent at the start and every
    `CHECKPOINT_INTERVAL_S`, so a crash loses at most the counts since the last one.
    """

    def __init__(self, spindle: Spindle) -> None:
        self.spindle = spindle
        self.instance = spindle.settings.instance.name
        addresses = tuple(control.address for control in spindle.settings.controls)
        first_control = xxhash.xxh32_intdigest(self.instance.encode())
        self.outbox = SummaryOutbox(addresses, first_control)
        self.counter = MinuteCounter(
            self.instance,
            spindle.incarnation,
            spindle.settings.instance.data_center,
            self._is_known,
            spindle.clock.wall_ms(),
        )
        self.next_checkpoint_at = spindle.clock.now()
        self.given_up_logged = 0
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the periodic reporting."""
        self.greenlet = gevent.spawn(self._run_forever)

    def record_arrival(self, group: str) -> None:
        """Count a request at its arrival."""
        self.counter.record_arrival(group)

    def record_finished(self, record: QueryRecord) -> None:
        """Count a finished request with its outcome."""
        self.counter.record_finished(record)

    def record_probe(self, group: str) -> None:
        """Count a probe of an upstream of the group."""
        self.counter.record_probe(group)

    def on_ack(self, sender: str, ack: SummaryAck) -> None:
        """Remove a minute from the outbox once a control instance has stored it on disk."""
        if ack.instance != self.instance or ack.incarnation != self.spindle.incarnation:
            return
        self.outbox.on_ack(ack.minute, ack.revision)

    def on_tick(self) -> None:
        """Close the minute if it is over, add a checkpoint if one is due, and send."""
        self._collect()
        self._send()

    def stop(self) -> None:
        """Send all counts; wait at most `FLUSH_TIMEOUT_S` for their confirmation."""
        if self.greenlet is not None:
            self.greenlet.kill()
        self._collect()
        self._add_to_outbox(self.counter.close(self.spindle.clock.wall_ms()))
        deadline = self.spindle.clock.now() + const.FLUSH_TIMEOUT_S
        while self.outbox.minutes and self.spindle.clock.now() < deadline:
            self._send()
            gevent.sleep(const.FLUSH_POLL_INTERVAL_S)
        if self.outbox.minutes:
            _LOGGER.error(
                "account: %s minutes not confirmed by control within %s s",
                len(self.outbox.minutes),
                const.FLUSH_TIMEOUT_S,
            )
            return
        _LOGGER.info("account: all minutes confirmed by control")

    def _run_forever(self) -> None:
        while True:
            try:
                self.on_tick()
            except Exception:
                _LOGGER.exception("account: periodic reporting failed")
            gevent.sleep(const.TICK_INTERVAL_S)

    def _collect(self) -> None:
        closed = self.counter.on_tick(self.spindle.clock.wall_ms())
        if closed is not None:
            self._add_to_outbox(closed)
        now = self.spindle.clock.now()
        if closed is None and now < self.next_checkpoint_at:
            return
        self.next_checkpoint_at = now + const.CHECKPOINT_INTERVAL_S
        self._add_to_outbox(self.counter.checkpoint())

    def _add_to_outbox(self, summary: MinuteSummary) -> None:
        self.outbox.add(summary.minute, summary.revision, encode_summary(summary))
        if self.outbox.given_up > self.given_up_logged:
            self.given_up_logged = self.outbox.given_up
            _LOGGER.error(
                "account: %s minutes given up since the start, the outbox is full",
                self.outbox.given_up,
            )

    def _send(self) -> None:
        for send in self.outbox.take_due(self.spindle.clock.now()):
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
