"""Tests of the catalog cache and the chunk buffer."""

import unittest

import msgspec
from nose2.tools import params

from spindle_daemon.components.control_link.catalog_holder import CatalogCache
from spindle_daemon.components.control_link.chunk_buffer import ChunkBuffer
from spindle_daemon.core.catalog_updated import CatalogUpdated
from spindle_daemon.core.clock import SystemClock
from spindle_daemon.core.event_bus import EventBus
from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.data_center import DataCenter
from spindle_decisions.exceptions import FrameError
from spindle_decisions.wire.config_chunk import ConfigChunk
from tests.daemon.control_link.common import NullTimeline


class TestCatalogCache(unittest.TestCase):
    def setUp(self) -> None:
        self.updated: list[int] = []
        bus = EventBus()
        bus.listen(CatalogUpdated, lambda event: self.updated.append(event.index.catalog.version))
        self.cache = CatalogCache(SystemClock(), bus, NullTimeline())

    @params(
        ((1, 2, 3), [1, 2, 3]),
        ((3, 2, 1), [3]),
        ((2, 2, 1, 5, 4), [2, 5]),
        ((0,), []),
    )
    def test_ignores_versions_that_are_not_newer(
        self, offered: tuple[int, ...], updated: list[int]
    ) -> None:
        for version in offered:
            self.cache.update(Catalog(version), "control-1")
        self.assertEqual(self.updated, updated)


class TestChunkBuffer(unittest.TestCase):
    def setUp(self) -> None:
        self.buffer = ChunkBuffer()

    def _chunk(self, version: int, index: int, total: int, data: bytes, digest: str) -> ConfigChunk:
        return ConfigChunk("control-1", version, digest, index, total, data)

    def test_assembles_reordered_and_duplicate_chunks(self) -> None:
        catalog = Catalog(4, (DataCenter("rennes-a"), DataCenter("brest-b")))
        data = msgspec.msgpack.encode(catalog)
        blocks = [data[:5], data[5:9], data[9:]]
        digest = catalog.digest()
        results = [
            self.buffer.add(self._chunk(4, index, 3, blocks[index], digest))
            for index in (2, 0, 2, 1)
        ]
        self.assertEqual(results, [None, None, None, catalog])

    def test_ignores_chunk_of_older_version(self) -> None:
        self.buffer.add(self._chunk(4, 0, 2, b"x", "d"))
        self.assertIsNone(self.buffer.add(self._chunk(3, 0, 1, b"y", "e")))
        self.assertEqual(self.buffer.version, 4)

    @params(b"", b"garbage", b"\x90")
    def test_rejects_data_that_does_not_match_announced_digest(self, data: bytes) -> None:
        with self.assertRaises(FrameError):
            self.buffer.add(self._chunk(4, 0, 1, data, "another digest"))
