"""Tests of the delta exchange of reports between control instances."""

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

INSTANCE_COUNT = 400


def _heartbeat(number: int, version: int = 1) -> Heartbeat:
    live = LiveInstance(f"entry-{number}", 1, "dc", "entry", "tcp://x", "host", 1, False)
    return Heartbeat(live, version, "digest", "", attached=True)


class TestStatusSync(unittest.TestCase):
    def setUp(self) -> None:
        self.sender = StatusSync("control-1", InstanceTable())
        self.receiver = StatusSync("control-2", InstanceTable())

    def _receive_heartbeats(self, now: float, count: int, version: int = 1) -> None:
        for number in range(count):
            self.sender.table.on_heartbeat(now, _heartbeat(number, version))

    def test_status_without_changes_is_small(self) -> None:
        self._receive_heartbeats(0.0, INSTANCE_COUNT)
        self.receiver.receive(0.0, self.sender.next_status(0.0))
        self._receive_heartbeats(1.0, INSTANCE_COUNT)
        status = self.sender.next_status(1.0)
        self.assertTrue(self.receiver.receive(1.0, status))
        self.assertLess(len(msgspec.msgpack.encode(status)), 200)
        ages = {report.age_ms for report in self.receiver.table.reports(1.0)}
        self.assertEqual(ages, {0}, "a status without changes refreshes every instance")

    def test_receiver_suspects_unresponsive_instances(self) -> None:
        self._receive_heartbeats(0.0, 3)
        self.receiver.receive(0.0, self.sender.next_status(0.0))
        now = SUSPECT_AFTER_S + 1.0
        self.sender.table.on_heartbeat(now, _heartbeat(0))
        self.receiver.receive(now, self.sender.next_status(now))
        suspects = [report.suspected for report in self.receiver.table.reports(now)]
        self.assertEqual(suspects, [False, True, True])

    def test_lost_change_is_requested_in_full(self) -> None:
        self._receive_heartbeats(0.0, 3)
        self.receiver.receive(0.0, self.sender.next_status(0.0))
        self._receive_heartbeats(1.0, 3, version=2)
        lost = self.sender.next_status(1.0)
        self.assertEqual(len(lost.reports), 3)
        self.assertFalse(self.receiver.receive(2.0, self.sender.next_status(2.0)))
        self.receiver.receive(2.0, self.sender.full_status(2.0))
        self.assertTrue(self.receiver.receive(3.0, self.sender.next_status(3.0)))
        versions = {report.config_version for report in self.receiver.table.reports(3.0)}
        self.assertEqual(versions, {2})

    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(st.lists(st.tuples(st.sampled_from("hvld"), st.integers(0, 5)), max_size=40))
    def test_any_loss_is_repaired(self, steps: list[tuple[str, int]]) -> None:
        sender, receiver = StatusSync("a", InstanceTable()), StatusSync("b", InstanceTable())
        now, version = 0.0, 1
        for kind, number in steps:
            now += 0.1
            version += kind == "v"
            if kind in "hv":
                sender.table.on_heartbeat(now, _heartbeat(number, version))
            if kind == "l":
                leave = Leave(f"entry-{number}", 1)
                sender.table.on_leave(leave)
                receiver.table.on_leave(leave)
            if kind == "d":
                sender.next_status(now)
        for _ in range(FULL_STATUS_EVERY + 1):
            status = sender.next_status(now)
            if not receiver.receive(now, status):
                receiver.receive(now, sender.full_status(now))
        received = {item.live.instance: item.config_version for item in receiver.table.reports(now)}
        expected = {item.live.instance: item.config_version for item in sender.table.reports(now)}
        self.assertEqual(received, expected)
