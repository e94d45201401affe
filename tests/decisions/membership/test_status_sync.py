"""Tests of sharing the membership between control instances by deltas."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from spindle_decisions.membership.const import FULL_STATUS_EVERY, SUSPECT_AFTER_S
from spindle_decisions.membership.instance_table import InstanceTable
from spindle_decisions.membership.status_sync import StatusSync
from spindle_decisions.wire.heartbeat import Heartbeat
from spindle_decisions.wire.leave import Leave
from spindle_decisions.wire.live_instance import LiveInstance

MANY = 400


def _beat(number: int, version: int = 1) -> Heartbeat:
    live = LiveInstance(f"entry-{number}", 1, "dc", "entry", "tcp://x", "host", 1, False)
    return Heartbeat(live, version, "digest", "", attached=True)


class TestStatusShare(unittest.TestCase):
    def setUp(self) -> None:
        self.near = StatusSync("control-1", InstanceTable())
        self.far = StatusSync("control-2", InstanceTable())

    def _hear(self, now: float, count: int, version: int = 1) -> None:
        for number in range(count):
            self.near.table.on_heartbeat(now, _beat(number, version))

    def test_quiet_status_is_small_however_many_instances_there_are(self) -> None:
        self._hear(0.0, MANY)
        self.far.receive(0.0, self.near.next_status(0.0))
        self._hear(1.0, MANY)
        status = self.near.next_status(1.0)
        self.assertTrue(self.far.receive(1.0, status))
        self.assertLess(len(msgspec.msgpack.encode(status)), 200)
        ages = {report.age_ms for report in self.far.table.reports(1.0)}
        self.assertEqual(ages, {0}, "a quiet status refreshes every instance")

    def test_silent_instance_is_suspected_at_the_far_side_too(self) -> None:
        self._hear(0.0, 3)
        self.far.receive(0.0, self.near.next_status(0.0))
        now = SUSPECT_AFTER_S + 1.0
        self.near.table.on_heartbeat(now, _beat(0))
        self.far.receive(now, self.near.next_status(now))
        suspects = [report.suspected for report in self.far.table.reports(now)]
        self.assertEqual(suspects, [False, True, True])

    def test_change_is_sent_at_once_and_lost_one_is_asked_for(self) -> None:
        self._hear(0.0, 3)
        self.far.receive(0.0, self.near.next_status(0.0))
        self._hear(1.0, 3, version=2)
        lost = self.near.next_status(1.0)
        self.assertEqual(len(lost.reports), 3)
        self.assertFalse(self.far.receive(2.0, self.near.next_status(2.0)))
        self.far.receive(2.0, self.near.full_status(2.0))
        self.assertTrue(self.far.receive(3.0, self.near.next_status(3.0)))
        versions = {report.config_version for report in self.far.table.reports(3.0)}
        self.assertEqual(versions, {2})

    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(st.lists(st.tuples(st.sampled_from("hvld"), st.integers(0, 5)), max_size=40))
    def test_any_loss_is_repaired(self, steps: list[tuple[str, int]]) -> None:
        near, far = StatusSync("a", InstanceTable()), StatusSync("b", InstanceTable())
        now, version = 0.0, 1
        for kind, number in steps:
            now += 0.1
            version += kind == "v"
            if kind in "hv":
                near.table.on_heartbeat(now, _beat(number, version))
            if kind == "l":
                leave = Leave(f"entry-{number}", 1)
                near.table.on_leave(leave)
                far.table.on_leave(leave)
            if kind == "d":
                near.next_status(now)
        for _ in range(FULL_STATUS_EVERY + 1):
            status = near.next_status(now)
            if not far.receive(now, status):
                far.receive(now, near.full_status(now))
        held = {item.live.instance: item.config_version for item in far.table.reports(now)}
        told = {item.live.instance: item.config_version for item in near.table.reports(now)}
        self.assertEqual(held, told)
