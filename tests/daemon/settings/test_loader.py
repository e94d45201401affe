"""Tests of reading and checking settings."""

import unittest

from nose2.tools import params

from spindle_daemon.settings.loader import parse_settings
from spindle_decisions.exceptions import SettingsError

GOOD = """
[instance]
name = entry-1
data-center = rennes-a
role = entry
key-file = key
[mesh]
listen = tcp://127.0.0.1:7000
[admin]
listen = 127.0.0.1:9100
[entry]
listen = 127.0.0.1:8080
[controls]
control-1 = tcp://127.0.0.1:7001
"""


class TestParseSettings(unittest.TestCase):
    def test_valid_settings_are_completed_with_defaults(self) -> None:
        settings = parse_settings(GOOD)
        assert settings.entry is not None
        self.assertEqual(settings.entry.listen.port, 8080)
        self.assertEqual(settings.mesh.advertise, "tcp://127.0.0.1:7000")
        self.assertTrue(settings.serving.hedging)
        self.assertIsNone(settings.control)

    @params(
        ("name = entry-1", "name = Entry 1", "[instance] name = 'Entry 1'"),
        ("role = entry", "role = queen", "allowed: entry, control"),
        ("role = entry", "role = control", "[instance] data-dir = missing"),
        ("listen = 127.0.0.1:8080", "listen = localhost:8080", "IP address"),
        ("listen = 127.0.0.1:8080", "listen = 127.0.0.1:99999", "1 to 65535"),
        ("listen = 127.0.0.1:8080", "", "[entry] listen = missing"),
        ("[controls]", "[controlls]", "[controlls]: unknown"),
        ("control-1 = tcp://127.0.0.1:7001", "", "[controls] has 0 entries"),
        ("tcp://127.0.0.1:7001", "127.0.0.1:7001", "allowed: tcp://IP:PORT"),
        ("[entry]", "[entry]\nstop-lag-ms = soon", "[entry] stop-lag-ms = 'soon'"),
        ("[entry]", "[entry]\nwarp = 9", "[entry] warp = '9'"),
        ("[admin]", "no ini", "not an INI file"),
    )
    def test_error_names_section_key_and_allowed_values(
        self, old: str, new: str, expected: str
    ) -> None:
        with self.assertRaises(SettingsError) as caught:
            parse_settings(GOOD.replace(old, new))
        self.assertIn(expected, str(caught.exception))
