"""Tests of the way of minute summaries from an entry instance to a disk."""

import unittest
from typing import Any
from unittest import mock

from nose2.tools import params

from spindle_daemon.components.account.coordinator import AccountCoordinator
from spindle_daemon.components.account.summary_store import SummaryStore
from spindle_decisions.account.minute_summary import MinuteSummary, decode_summary
from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.wire.summary_ack import SummaryAck
from spindle_decisions.wire.summary_report import SummaryReport
from tests.daemon.account.common import FakeClock, MemorySink, create_spindle
from tests.decisions.account.common import record

FIRST, SECOND = "tcp://127.0.0.1:7100", "tcp://127.0.0.1:7200"


class AccountTestCase(unittest.TestCase):
    """One entry instance and one control instance that both addresses lead to."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        entry, self.entry_link = create_spindle("entry-a", "entry", self.clock)
        control, self.control_link = create_spindle("control-a", "control", self.clock)
        self.sink = MemorySink()
        self.store = SummaryStore(control, self.sink)
        self.account = AccountCoordinator(entry)
        self.entry_link.handle(SummaryAck, self.account.on_ack)
        self.cut: set[str] = set()
        self.entry_link.receiver = self.to_control
        self.control_link.receiver = lambda _address, ack: self.entry_link.deliver("c", ack)

    def to_control(self, address: str, report: Any) -> None:
        if address not in self.cut:
            try:
                self.store.write(report)
            except Exception:
                self.assertTrue(self.sink.fails)

    def serve(self, count: int = 1) -> None:
        for _ in range(count):
            self.account.record_arrival("comptoir")
            self.account.record_finished(record())

    def run_for(self, seconds: int) -> None:
        for _ in range(seconds):
            self.clock.ms += 1000
            self.account.tick()

    def stop(self) -> None:
        def sleep(seconds: float) -> None:
            self.clock.ms += int(seconds * 1000)

        with mock.patch("gevent.sleep", sleep):
            self.account.stop()

    def on_disk(self) -> list[MinuteSummary]:
        return [decode_summary(data) for data in self.sink.items.values()]

    def answered(self) -> int:
        return sum(group.answered for item in self.on_disk() for group in item.groups)


class TestReporting(AccountTestCase):
    def test_a_crash_loses_at_most_ten_seconds(self) -> None:
        self.run_for(1)
        self.serve(3)
        self.run_for(10)
        self.assertEqual(self.answered(), 3)

    def test_a_planned_stop_loses_nothing(self) -> None:
        self.run_for(70)
        self.serve(3)
        self.stop()
        self.assertEqual(self.answered(), 3)
        self.assertTrue(max(self.on_disk(), key=lambda item: item.minute).last)

    @params({FIRST}, {SECOND})
    def test_a_control_instance_that_is_cut_off_is_left(self, cut: set[str]) -> None:
        self.cut = cut
        self.serve(3)
        self.run_for(70)
        self.stop()
        self.assertEqual(self.answered(), 3)

    def test_minutes_of_a_cut_arrive_after_it(self) -> None:
        self.run_for(1)
        self.cut = {FIRST, SECOND}
        for _ in range(20):
            self.serve()
            self.run_for(60)
        self.assertLess(self.answered(), 20)
        self.cut = set()
        self.run_for(30)
        self.assertEqual(self.answered(), 20)

    def test_a_stop_without_control_gives_up_after_a_while(self) -> None:
        self.cut = {FIRST, SECOND}
        before = self.clock.ms
        self.stop()
        self.assertGreaterEqual(self.clock.ms - before, 10_000)
        self.assertLess(self.clock.ms - before, 20_000)

    def test_names_made_up_by_callers_are_counted_together(self) -> None:
        for index in range(1000):
            self.account.record_arrival(f"junk-{index}")
        summary = self.account.counter.checkpoint()
        self.assertEqual(
            [(item.group, item.arrived) for item in summary.groups], [("unknown", 1000)]
        )

    def test_the_late_confirmation_of_a_checkpoint_confirms_only_that(self) -> None:
        self.cut = {FIRST, SECOND}
        self.run_for(1)
        minute = self.account.counter.minute
        self.run_for(11)
        self.account.on_ack("c", SummaryAck("c", "entry-a", 5, minute, revision=1))
        self.assertIn(minute, self.account.outbox.minutes)
        self.account.on_ack("c", SummaryAck("c", "entry-a", 4, minute, revision=99))
        self.assertIn(minute, self.account.outbox.minutes)
        self.account.on_ack("c", SummaryAck("c", "entry-a", 5, minute, revision=99))
        self.assertNotIn(minute, self.account.outbox.minutes)


class TestStore(AccountTestCase):
    def report(self) -> SummaryReport:
        self.run_for(1)
        report = self.entry_link.sent[-1][1]
        assert isinstance(report, SummaryReport)
        self.control_link.sent.clear()
        self.sink.writes = 0
        return report

    def test_nothing_is_confirmed_that_is_not_on_disk(self) -> None:
        self.sink.fails = True
        self.serve()
        self.run_for(30)
        self.assertEqual(self.control_link.sent, [])
        self.sink.fails = False
        self.run_for(30)
        self.assertEqual(self.answered(), 1)

    def test_a_repeated_report_is_confirmed_and_not_written(self) -> None:
        report = self.report()
        self.store.write(report)
        self.assertEqual((self.sink.writes, len(self.control_link.sent)), (0, 1))

    def test_an_older_revision_never_replaces_a_newer_one_after_a_restart(self) -> None:
        old = self.report()
        self.serve()
        self.run_for(20)
        self.store = SummaryStore(self.store.spindle, self.sink)
        self.store.write(old)
        self.assertEqual(self.answered(), 1)

    @params("garbage", "another instance")
    def test_a_faulty_report_is_refused(self, fault: str) -> None:
        report = self.report()
        data = b"\xff" if fault == "garbage" else report.data
        self.store.write(SummaryReport("entry-z", 5, report.minute, report.reply_to, data))
        self.assertEqual((self.sink.writes, self.control_link.sent, self.store.refused), (0, [], 1))

    def test_reports_beyond_the_queue_are_dropped_and_counted(self) -> None:
        report = self.report()
        for _ in range(600):
            self.store.on_report("entry-a", report)
        self.assertGreater(self.store.dropped, 0)

    def test_a_reply_holds_the_hours_asked_for(self) -> None:
        self.serve()
        self.run_for(3 * 3600)
        day = "1970-01-01"
        self.assertEqual(len(self.store.reply({"day": day, "hour": "17"}).minutes), 60)
        self.assertEqual(
            len(self.store.reply({"day": day, "hour": "17", "hours": "2"}).minutes), 120
        )

    @params(
        {"hour": "1", "hours": "7", "day": "1970-01-01"},
        {"hour": "24"},
        {"hour": "x"},
        {"hour": "1", "day": "yesterday"},
        {"hour": "1"},
    )
    def test_arguments_that_cannot_be_read(self, arguments: dict[str, str]) -> None:
        with self.assertRaises(BadRequestError):
            self.store.reply(arguments)
