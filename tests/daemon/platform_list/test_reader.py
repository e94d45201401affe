"""Tests of reading the platform's list file."""

import pathlib
import tempfile
import unittest

from nose2.tools import params

from spindle_daemon.components.platform_list.const import MAX_LIST_BYTES
from spindle_daemon.components.platform_list.coordinator import PlatformListReader
from spindle_daemon.core.event_bus import EventBus
from spindle_daemon.core.platform_list_changed import PlatformListChanged


class TestPlatformListReader(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "list.json"
        self.events: list[PlatformListChanged] = []
        bus = EventBus()
        bus.listen(PlatformListChanged, self.events.append)
        self.reader = PlatformListReader(self.path, bus)

    def test_change_fires_once(self) -> None:
        self.path.write_text('{"live": ["a"], "leaving": ["b"]}')
        self.reader.read()
        self.reader.read()
        self.assertEqual(self.events, [PlatformListChanged(frozenset({"b"}))])
        self.path.write_text('{"leaving": []}')
        self.reader.read()
        self.assertEqual(self.events[1:], [PlatformListChanged(frozenset())])

    @params(None, "", "{", '{"leaving": 3}', "[]", " " * (MAX_LIST_BYTES + 1))
    def test_unreadable_list_keeps_last_state(self, text: str | None) -> None:
        self.path.write_text('{"leaving": ["b"]}')
        self.reader.read()
        self.path.unlink()
        if text is not None:
            self.path.write_text(text)
        self.reader.read()
        self.assertEqual(len(self.events), 1)
        self.assertTrue(self.reader.broken)
