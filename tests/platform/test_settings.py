"""Tests of the settings template that the platform fills in."""

import unittest
from typing import Any

from spindle_daemon.settings.loader import parse_settings
from tests.platform.template import render

ENTRY_FIELDS: dict[str, Any] = {
    "nodeName": "front-rennes-a-1",
    "role": "entry",
    "ip": "10.1.0.6",
    "zone": "rennes-a",
    "internalPortRange": [7380, 7395],
    "seeds": ["10.1.0.8:8106", "10.2.0.29:8106", "10.3.0.8:8106"],
    "bootstrap": True,
    "listen": {"front": "10.1.0.6:8104", "ready": "10.1.0.6:8108"},
    "provider": {"address": "10.200.0.145:8102", "ratePerS": 46.0},
    "contractParams": {"graceS": 6, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetBurst": 52},
}
CONTROL_FIELDS: dict[str, Any] = {
    **ENTRY_FIELDS,
    "nodeName": "core-rennes-a-1",
    "role": "control",
    "dataDir": "/data/control",
    "bootstrap": False,
    "listen": {"control": "10.1.0.8:8106"},
}


class TestTemplate(unittest.TestCase):
    def test_entry(self) -> None:
        settings = parse_settings(render(ENTRY_FIELDS))
        assert settings.fleet is not None and settings.entry is not None
        assert settings.routed is not None
        self.assertEqual(settings.instance.data_center, "rennes-a")
        self.assertEqual(settings.fleet.seeds[1], "tcp://10.2.0.29:7380")
        self.assertTrue(settings.fleet.founding)
        self.assertEqual(settings.entry.listen.port, 8104)
        self.assertEqual(str(settings.routed.ready_listen), "10.1.0.6:8108")
        self.assertEqual((settings.routed.stop_ms, settings.routed.budget_burst), (6000, 52))

    def test_control(self) -> None:
        settings = parse_settings(render(CONTROL_FIELDS))
        assert settings.fleet is not None and settings.routed is not None
        self.assertFalse(settings.fleet.founding)
        self.assertEqual(str(settings.instance.data_dir), "/data/control")
        self.assertEqual(str(settings.routed.operator_listen), "10.1.0.8:8106")
        self.assertIsNone(settings.entry)
