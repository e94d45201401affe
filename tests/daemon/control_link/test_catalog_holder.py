"""Tests of the catalog in force at an instance."""

import unittest

import msgspec
from nose2.tools import params

from spindle_daemon.components.control_link.catalog_holder import CatalogHolder
from spindle_daemon.components.control_link.chunk_buffer import ChunkBuffer
from spindle_daemon.core.catalog_updated import CatalogUpdated
from spindle_daemon.core.clock import SystemClock
from spindle_daemon.core.event_bus import EventBus
from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.data_center import DataCenter
from spindle_decisions.exceptions import FrameError
from spindle_decisions.wire.config_chunk import ConfigChunk
from tests.daemon.control_link.common import NoTimeline


class TestCatalogHolder(unittest.TestCase):
    def setUp(self) -> None:
        self.taken: list[int] = []
        bus = EventBus()
        bus.listen(CatalogUpdated, lambda event: self.taken.append(event.index.catalog.version))
        self.holder = CatalogHolder(SystemClock(), bus, NoTimeline())

    @params(
        ((1, 2, 3), [1, 2, 3]),
        ((3, 2, 1), [3]),
        ((2, 2, 1, 5, 4), [2, 5]),
        ((0,), []),
    )
    def test_versions_only_grow(self, offered: tuple[int, ...], taken: list[int]) -> None:
        for version in offered:
            self.holder.take(Catalog(version), "control-1")
        self.assertEqual(self.taken, taken)


class TestChunkBuffer(unittest.TestCase):
    def setUp(self) -> None:
        self.buffer = ChunkBuffer()

    def _chunk(self, version: int, index: int, total: int, data: bytes, digest: str) -> ConfigChunk:
        return ConfigChunk("control-1", version, digest, index, total, data)

    def test_chunks_in_any_order_and_twice(self) -> None:
        catalog = Catalog(4, (DataCenter("rennes-a"), DataCenter("brest-b")))
        data = msgspec.msgpack.encode(catalog)
        parts = [data[:5], data[5:9], data[9:]]
        digest = catalog.digest()
        got = [
            self.buffer.add(self._chunk(4, index, 3, parts[index], digest))
            for index in (2, 0, 2, 1)
        ]
        self.assertEqual(got, [None, None, None, catalog])

    def test_older_version_does_not_disturb_a_newer_one(self) -> None:
        self.buffer.add(self._chunk(4, 0, 2, b"x", "d"))
        self.assertIsNone(self.buffer.add(self._chunk(3, 0, 1, b"y", "e")))
        self.assertEqual(self.buffer.version, 4)

    @params(b"", b"garbage", b"\x90")
    def test_whole_that_is_not_the_announced_one_is_refused(self, data: bytes) -> None:
        with self.assertRaises(FrameError):
            self.buffer.add(self._chunk(4, 0, 1, data, "another digest"))
