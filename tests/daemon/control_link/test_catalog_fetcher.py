"""Tests of fetching newer catalogs."""

import unittest

from nose2.tools import params

from spindle_daemon.components.control_link.catalog_fetcher import CatalogFetcher
from spindle_daemon.components.control_link.catalog_holder import CatalogHolder
from spindle_daemon.components.control_link.const import FETCH_TIMEOUT_S
from spindle_daemon.core.event_bus import EventBus
from spindle_decisions.catalog.catalog import EMPTY_CATALOG
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note
from spindle_decisions.wire.config_delta import ConfigDelta
from spindle_decisions.wire.fetch_config import FetchConfig
from tests.daemon.control_link.common import FakeTransport, ManualClock, NoTimeline

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
        self.holder = CatalogHolder(self.clock, EventBus(), NoTimeline())
        self.fetcher = CatalogFetcher(self.clock, self.transport, "tcp://self", self.holder)

    def _asked(self, address: str) -> list[FetchConfig]:
        return [message for target, message in self.transport.sent if target == address]

    def test_lost_answer_is_asked_for_again_while_peers_are_asked_too(self) -> None:
        for _ in range(round(3 * FETCH_TIMEOUT_S / STEP_S)):
            self.fetcher.learn(CONTROL, 1, "digest")
            self.fetcher.ask(PEER)
            self.clock.seconds += STEP_S
        self.assertEqual(len(self._asked(CONTROL)), 3)

    @params(("right", 1, False), ("wrong", 0, True))
    def test_delta_is_taken_only_with_the_announced_digest(
        self, digest: str, version: int, distrusted: bool
    ) -> None:
        catalog = apply_note(EMPTY_CATALOG, parse_note(NOTE))
        told = catalog.digest() if digest == "right" else "another"
        self.transport.deliver("control-1", ConfigDelta("control-1", 0, 1, (NOTE,), told))
        self.assertEqual(self.holder.catalog.version, version)
        self.fetcher.learn(CONTROL, 2, "digest")
        self.assertEqual(self._asked(CONTROL)[0].full, distrusted)

    def test_delta_that_does_not_apply_is_dropped(self) -> None:
        bad = NOTE.replace("added", "withdrawn")
        self.transport.deliver("control-1", ConfigDelta("control-1", 0, 1, (bad,), "d"))
        self.assertEqual(self.holder.catalog.version, 0)
        self.assertTrue(self.fetcher.want_full)
