"""Reading the list of upstreams in turn."""

import unittest

from spindle_daemon.components.fleet.const import LIST_RETRY_INTERVAL_S
from spindle_daemon.components.fleet.list_reader import UpstreamListReader
from spindle_daemon.components.fleet.upstream_list_codec import (
    decode_upstream_list,
    encode_upstream_list,
)
from spindle_decisions.exceptions import FrameError, UpstreamListError
from spindle_decisions.fleet.upstream_list_cache import UpstreamListCache
from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.upstream_list import create_upstream_list
from spindle_decisions.wire.list_push import ListPush
from tests.daemon.routed.test_log import FixedClock
from tests.decisions.routing.common import listed

LOGGER = "spindle_daemon.components.fleet.list_reader"


class Source:
    """A platform that answers or fails."""

    def __init__(self) -> None:
        self.upstreams: tuple[ListedUpstream, ...] = (listed("a", "s0"),)
        self.fails = False
        self.reads = 0

    def read(self) -> tuple[ListedUpstream, ...]:
        self.reads += 1
        if self.fails:
            raise UpstreamListError("gone")
        return self.upstreams


class TestListReader(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FixedClock()
        self.keeper = UpstreamListCache()
        self.source = Source()
        self.news: list[bool] = []
        self.reader = UpstreamListReader(
            self.clock, self.keeper, self.source, lambda: 1.0, self.news.append
        )

    def test_only_an_old_list_is_read_again(self) -> None:
        for passed_s in (0.0, 0.5, 0.4, 0.2):
            self.clock.at += passed_s
            self.reader.step()
        self.assertEqual(self.source.reads, 2)
        self.assertEqual(self.news, [True, False])

    def test_word_of_others_saves_a_read(self) -> None:
        self.reader.step()
        self.clock.at += 1.1
        self.keeper.refresh(self.keeper.newest.digest, self.clock.at - 0.2)
        self.reader.step()
        self.assertEqual(self.source.reads, 1)

    def test_a_lost_list_keeps_the_last_one_and_is_said_once(self) -> None:
        self.reader.step()
        held = self.keeper.newest
        self.source.fails = True
        with self.assertLogs(LOGGER) as caught:
            for _ in range(4):
                self.clock.at += 1.0 + LIST_RETRY_INTERVAL_S
                self.reader.step()
            self.source.fails = False
            self.clock.at += 1.0
            self.reader.step()
        self.assertEqual(self.keeper.newest.digest, held.digest)
        events = [vars(item)["event"] for item in caught.records]
        self.assertEqual(events, ["list-lost", "list-regained"])

    def test_what_others_read_is_new_once_and_saves_a_read(self) -> None:
        push = encode_upstream_list(create_upstream_list((listed("b", "s1"),)), 500)
        self.assertTrue(self.reader.take_push(push))
        self.assertFalse(self.reader.take_push(push))
        self.clock.at += 0.4
        self.reader.step()
        self.assertEqual((self.source.reads, self.news), (0, []))

    def test_a_malformed_push_is_dropped(self) -> None:
        with self.assertLogs(LOGGER, "WARNING"):
            self.assertFalse(self.reader.take_push(ListPush("x", 0, b"garbage")))
        self.assertEqual(self.keeper.newest.digest, "")


class TestCodec(unittest.TestCase):
    def test_there_and_back(self) -> None:
        made = create_upstream_list((listed("a", "s0"), listed("b", "s1", draining=True)))
        self.assertEqual(decode_upstream_list(encode_upstream_list(made, 5)), made)

    def test_what_is_malformed_is_refused(self) -> None:
        with self.assertRaises(FrameError):
            decode_upstream_list(ListPush("x", 0, b"garbage"))
