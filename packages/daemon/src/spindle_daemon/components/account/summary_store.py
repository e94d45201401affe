"""Stores and serves minute summaries at a control instance."""

import datetime
import logging
from collections.abc import Mapping

import gevent
from gevent.queue import Full, Queue

from spindle_daemon.components.account import const
from spindle_daemon.components.account.summary_sink import SummarySink
from spindle_daemon.core.spindle import Spindle
from spindle_decisions.account.day import day_of_minute, first_minute_of
from spindle_decisions.account.minute_summary import MinuteSummary, decode_summary
from spindle_decisions.account.summaries_reply import SummariesReply
from spindle_decisions.account.summary_index import SummaryIndex
from spindle_decisions.exceptions import BadRequestError, FrameError, StorageError
from spindle_decisions.wire.summary_ack import SummaryAck
from spindle_decisions.wire.summary_report import SummaryReport

_LOGGER = logging.getLogger(__name__)

MINUTES_PER_HOUR = 60
HOURS_PER_DAY = 24


class SummaryStore:
    """Writes summaries sequentially and confirms each after it is synced to disk.

    One greenlet writes the reports from a queue, so that the handling of mesh messages
    never waits for the disk. A report is dropped if the queue is full; the entry
    instance sends it again.
    """

    def __init__(self, spindle: Spindle, sink: SummarySink) -> None:
        self.spindle = spindle
        self.sink = sink
        self.control = spindle.settings.instance.name
        self.index = SummaryIndex()
        self.queue: Queue = Queue(maxsize=const.STORE_QUEUE_REPORTS)
        self.written = 0
        self.repeated = 0
        self.refused = 0
        self.failed = 0
        self.dropped = 0
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet that writes queued reports."""
        self.greenlet = gevent.spawn(self._write_forever)

    def stop(self) -> None:
        """Stop writing; entry instances send unconfirmed reports to another control instance."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def on_report(self, sender: str, report: SummaryReport) -> None:
        """Queue a report for writing; drop it if the queue is full."""
        try:
            self.queue.put_nowait(report)
        except Full:
            self.dropped += 1

    def write(self, report: SummaryReport) -> None:
        """Write a report if it is newer than the stored one, and confirm it.

        Raises `StorageError` if it cannot be written.
        """
        summary = self._decode_report(report)
        if summary is None:
            return
        day = day_of_minute(summary.minute)
        self._load_day(day)
        if self.index.is_newer(summary):
            self.sink.put(report.instance, report.incarnation, report.minute, report.data)
            self.index.add(summary)
            self.written += 1
        else:
            self.repeated += 1
        ack = SummaryAck(
            self.control, report.instance, report.incarnation, report.minute, summary.revision
        )
        self.spindle.transport.send(report.reply_to, ack)

    def reply(self, arguments: Mapping[str, str]) -> SummariesReply:
        """Answer `GET /v1/summaries` with the arguments `day`, `hour` and `hours`, in UTC.

        `hours` defaults to 1, and the answer ends with the day at the latest. Without
        `hour` it contains only the list of days. Raises `BadRequestError` for
        invalid arguments.
        """
        day = arguments.get("day", "")
        if "hour" not in arguments:
            return SummariesReply(self.control, day, 0, 0, (), self.sink.days())
        hour = _number(arguments, "hour", 0, HOURS_PER_DAY - 1)
        hours = min(_number(arguments, "hours", 1, const.MAX_REPLY_HOURS), HOURS_PER_DAY - hour)
        try:
            first = first_minute_of(datetime.date.fromisoformat(day))
        except ValueError:
            raise BadRequestError(f"day is {day!r}, expected YYYY-MM-DD") from None
        first += hour * MINUTES_PER_HOUR
        minutes = tuple(self.sink.load(first, first + hours * MINUTES_PER_HOUR - 1))
        return SummariesReply(self.control, day, hour, hours, minutes, self.sink.days())

    def _decode_report(self, report: SummaryReport) -> MinuteSummary | None:
        try:
            summary = decode_summary(report.data)
        except FrameError as err:
            self._refuse(str(err))
            return None
        stated = (report.instance, report.incarnation, report.minute)
        if stated != (summary.instance, summary.incarnation, summary.minute):
            self._refuse(f"the report is for {stated}, its summary for another minute or instance")
            return None
        return summary

    def _load_day(self, day: str) -> None:
        if self.index.has_day(day):
            return
        first = first_minute_of(datetime.date.fromisoformat(day))
        last = first + HOURS_PER_DAY * MINUTES_PER_HOUR - 1
        self.index.load_day(day, self.sink.load(first, last))

    def _refuse(self, reason: str) -> None:
        self.refused += 1
        _LOGGER.warning("account: summary refused: %s", reason)

    def _write_forever(self) -> None:
        while True:
            report = self.queue.get()
            try:
                self.write(report)
            except StorageError as err:
                self.failed += 1
                _LOGGER.error("account: summary not written: %s", err)
            except Exception:
                self.failed += 1
                _LOGGER.exception("account: summary not written")


def _number(arguments: Mapping[str, str], name: str, minimum: int, maximum: int) -> int:
    text = arguments.get(name, str(minimum))
    if not text.isascii() or not text.isdecimal() or not minimum <= int(text) <= maximum:
        raise BadRequestError(f"{name} is {text!r}, expected {minimum} to {maximum}")
    return int(text)
