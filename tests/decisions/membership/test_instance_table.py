"""Tests of the table of instances."""

import unittest

from spindle_decisions.membership.const import EXPIRE_AFTER_S, SUSPECT_AFTER_S
from spindle_decisions.membership.instance_table import InstanceTable
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.instance_report import InstanceReport
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.live_instance import LiveInstance


def _live(incarnation: int = 1, leaving: bool = False, name: str = "entry-1") -> LiveInstance:
    return LiveInstance(name, incarnation, "dc", "entry", "tcp://x", "host", 1, leaving)


def _heartbeat(live: LiveInstance, version: int = 1) -> Heartbeat:
    return Heartbeat(live, version, "digest", "", attached=True)


class TestInstanceTable(unittest.TestCase):
    def setUp(self) -> None:
        self.table = InstanceTable()
        self.table.on_heartbeat(0.0, _heartbeat(_live()))

    def test_unresponsive_instance_is_suspect_then_expires(self) -> None:
        self.assertFalse(self.table.is_suspect(SUSPECT_AFTER_S - 0.1, "entry-1"))
        self.assertTrue(self.table.is_suspect(SUSPECT_AFTER_S + 0.1, "entry-1"))
        self.assertEqual(self.table.expire(EXPIRE_AFTER_S - 0.1), ())
        self.assertEqual(len(self.table.live_instances()), 1)
        self.assertEqual(self.table.expire(EXPIRE_AFTER_S + 0.1), ("entry-1",))
        self.assertEqual(self.table.live_instances(), ())

    def test_late_heartbeat_after_leave_is_ignored(self) -> None:
        self.assertTrue(self.table.on_leave(Leave("entry-1", 1)))
        self.assertFalse(self.table.on_heartbeat(1.0, _heartbeat(_live(1))))
        self.assertEqual(self.table.live_instances(), ())
        self.assertTrue(self.table.on_heartbeat(2.0, _heartbeat(_live(2))))

    def test_late_leave_of_an_old_incarnation_is_ignored(self) -> None:
        self.table.on_heartbeat(1.0, _heartbeat(_live(2)))
        self.assertFalse(self.table.on_leave(Leave("entry-1", 1)))
        self.assertEqual(len(self.table.live_instances()), 1)

    def test_old_incarnation_does_not_replace_a_new_one(self) -> None:
        self.table.on_heartbeat(1.0, _heartbeat(_live(2)))
        self.assertFalse(self.table.on_heartbeat(2.0, _heartbeat(_live(1))))
        self.assertEqual(self.table.live_instances()[0].incarnation, 2)

    def test_leaving_and_version_do_not_go_back(self) -> None:
        self.table.on_heartbeat(1.0, _heartbeat(_live(1, leaving=True), 5))
        stale = InstanceReport(_live(), 3, "old", age_ms=0, suspected=False)
        self.table.on_report(2.0, "control-2", stale)
        report = self.table.reports(2.0)[0]
        self.assertTrue(report.live.leaving)
        self.assertEqual(report.config_version, 5)

    def test_report_of_another_control_instance_keeps_its_age(self) -> None:
        report = InstanceReport(_live(name="entry-2"), 1, "d", age_ms=2000, suspected=False)
        self.table.on_report(10.0, "control-2", report)
        self.assertEqual(self.table.reports(10.0)[1].age_ms, 2000)
        self.assertEqual(len(self.table.direct_reports(10.0)), 1)
