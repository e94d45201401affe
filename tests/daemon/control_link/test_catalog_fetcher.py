"""Tests of the catalog fetcher."""

import unittest

from nose2.tools import params

from spindle_daemon.components.control_link.catalog_fetcher import CatalogFetcher
from spindle_daemon.components.control_link.catalog_holder import CatalogCache
from spindle_daemon.components.control_link.const import FETCH_TIMEOUT_S
from spindle_daemon.core.event_bus import EventBus
from spindle_decisions.catalog.catalog import EMPTY_CATALOG
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note
from spindle_decisions.wire.config_delta import ConfigDelta
from spindle_decisions.wire.fetch_config import FetchConfig
from tests.daemon.control_link.common import FakeTransport, ManualClock, NullTimeline

NOTE = """
[note]
number = 1
id = 0193a1de-7c1e-7d2a-9f2b-0c4f3a5b6d7e
author = yann
[added data-center rennes-a]
region = bretagne
"""
CONTROL = "tcp://control"
PEER = "tcp://peer"
STEP_S = 0.25


class TestCatalogFetcher(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.transport = FakeTransport()
        self.cache = CatalogCache(self.clock, EventBus(), NullTimeline())
        self.fetcher = CatalogFetcher(self.clock, self.transport, "tcp://self", self.cache)

    def _requests_to(self, address: str) -> list[FetchConfig]:
        return [message for target, message in self.transport.sent if target == address]

    def test_repeats_unanswered_request_while_peers_are_asked_too(self) -> None:
        for _ in range(round(3 * FETCH_TIMEOUT_S / STEP_S)):
            self.fetcher.on_version_advertised(CONTROL, 1, "digest")
            self.fetcher.request_update(PEER)
            self.clock.seconds += STEP_S
        self.assertEqual(len(self._requests_to(CONTROL)), 3)

    @params(("right", 1, False), ("wrong", 0, True))
    def test_applies_delta_only_with_announced_digest(
        self, digest: str, version: int, wants_full: bool
    ) -> None:
        catalog = apply_note(EMPTY_CATALOG, parse_note(NOTE))
        announced = catalog.digest() if digest == "right" else "another"
        self.transport.deliver("control-1", ConfigDelta("control-1", 0, 1, (NOTE,), announced))
        self.assertEqual(self.cache.catalog.version, version)
        self.fetcher.on_version_advertised(CONTROL, 2, "digest")
        self.assertEqual(self._requests_to(CONTROL)[0].full, wants_full)

    def test_discards_delta_that_does_not_apply(self) -> None:
        bad = NOTE.replace("added", "withdrawn")
        self.transport.deliver("control-1", ConfigDelta("control-1", 0, 1, (bad,), "d"))
        self.assertEqual(self.cache.catalog.version, 0)
        self.assertTrue(self.fetcher.want_full)
