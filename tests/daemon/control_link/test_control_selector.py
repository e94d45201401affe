"""Tests of the selection of a control instance."""

import unittest

from spindle_daemon.components.control_link.const import ACK_TIMEOUT_S, FAILBACK_DELAY_S
from spindle_daemon.components.control_link.control_selector import ControlSelector
from spindle_daemon.settings.instance_address import InstanceAddress
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck

ADDRESSES = tuple(InstanceAddress(name, f"tcp://{name}") for name in ("c1", "c2", "c3"))
STEP_S = 0.5


def _ack(name: str, stale: bool = False) -> HeartbeatAck:
    return HeartbeatAck(name, f"dc-{name}", stale, 0, 1, "d", "", ())


class TestControlSelector(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = ControlSelector(ADDRESSES, "dc-c1", 0.0, first_index=0)

    def _run(self, start: float, seconds: float, acks: dict[str, bool]) -> float:
        now = start
        while now < start + seconds:
            for name, stale in acks.items():
                self.selector.on_ack(now, _ack(name, stale))
            self.selector.reselect(now)
            now += STEP_S
        return now

    def test_switches_from_stale_to_fresh_control_instance_at_once(self) -> None:
        self._run(0.0, 2 * STEP_S, {"c1": True, "c2": False})
        self.assertEqual(self.selector.current.name, "c2")

    def test_switches_from_unresponsive_control_instance(self) -> None:
        self._run(0.0, ACK_TIMEOUT_S + 2 * STEP_S, {"c3": False})
        self.assertEqual(self.selector.current.name, "c3")

    def test_keeps_selection_when_no_other_is_fresh(self) -> None:
        self._run(0.0, 10.0, {"c1": True, "c2": True})
        self.assertEqual(self.selector.current.name, "c1")
        self.assertTrue(self.selector.is_suspect(10.0))

    def test_selects_local_data_center_at_start(self) -> None:
        for name, stale, expected in (("c1", True, "c2"), ("c1", False, "c1")):
            selector = ControlSelector(ADDRESSES, "dc-c1", 0.0, first_index=1)
            selector.on_ack(0.0, _ack(name, stale))
            selector.select_local_at_start(0.1)
            self.assertEqual(selector.current.name, expected)

    def test_fails_back_to_local_control_instance_after_delay(self) -> None:
        now = self._run(0.0, 2 * STEP_S, {"c1": True, "c2": False})
        now = self._run(now, FAILBACK_DELAY_S - 2.0, {"c1": False, "c2": False})
        self.assertEqual(self.selector.current.name, "c2")
        now = self._run(now, 1.0, {"c1": True, "c2": False})
        now = self._run(now, FAILBACK_DELAY_S - 2.0, {"c1": False, "c2": False})
        self.assertEqual(
            self.selector.current.name, "c2", "a stale answer restarts the failback delay"
        )
        self._run(now, 4.0, {"c1": False, "c2": False})
        self.assertEqual(self.selector.current.name, "c1")
