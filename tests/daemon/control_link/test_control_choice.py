"""Tests of the choice of a control instance."""

import unittest

from spindle_daemon.components.control_link.const import ACK_TIMEOUT_S, MOVE_BACK_S
from spindle_daemon.components.control_link.control_choice import ControlChoice
from spindle_daemon.settings.instance_address import InstanceAddress
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck

ADDRESSES = tuple(InstanceAddress(name, f"tcp://{name}") for name in ("c1", "c2", "c3"))
STEP_S = 0.5


def _ack(name: str, stale: bool = False) -> HeartbeatAck:
    return HeartbeatAck(name, f"dc-{name}", stale, 0, 1, "d", "", ())


class TestControlChoice(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = ControlChoice(ADDRESSES, "dc-c1", 0.0, first=0)

    def _run(self, start: float, seconds: float, acks: dict[str, bool]) -> float:
        now = start
        while now < start + seconds:
            for name, stale in acks.items():
                self.choice.acked(now, _ack(name, stale))
            self.choice.decide(now)
            now += STEP_S
        return now

    def test_stale_control_instance_is_left_at_once_for_a_fresh_one(self) -> None:
        self._run(0.0, 2 * STEP_S, {"c1": True, "c2": False})
        self.assertEqual(self.choice.current.name, "c2")

    def test_silent_control_instance_is_left(self) -> None:
        self._run(0.0, ACK_TIMEOUT_S + 2 * STEP_S, {"c3": False})
        self.assertEqual(self.choice.current.name, "c3")

    def test_choice_stays_when_no_other_is_fresh(self) -> None:
        self._run(0.0, 10.0, {"c1": True, "c2": True})
        self.assertEqual(self.choice.current.name, "c1")
        self.assertTrue(self.choice.doubtful(10.0))

    def test_start_settles_in_the_own_data_center(self) -> None:
        for name, stale, expected in (("c1", True, "c2"), ("c1", False, "c1")):
            choice = ControlChoice(ADDRESSES, "dc-c1", 0.0, first=1)
            choice.acked(0.0, _ack(name, stale))
            choice.settle(0.1)
            self.assertEqual(choice.current.name, expected)

    def test_near_control_instance_is_taken_back_after_it_was_steady(self) -> None:
        now = self._run(0.0, 2 * STEP_S, {"c1": True, "c2": False})
        now = self._run(now, MOVE_BACK_S - 2.0, {"c1": False, "c2": False})
        self.assertEqual(self.choice.current.name, "c2")
        now = self._run(now, 1.0, {"c1": True, "c2": False})
        now = self._run(now, MOVE_BACK_S - 2.0, {"c1": False, "c2": False})
        self.assertEqual(self.choice.current.name, "c2", "a flap starts the wait again")
        self._run(now, 4.0, {"c1": False, "c2": False})
        self.assertEqual(self.choice.current.name, "c1")
