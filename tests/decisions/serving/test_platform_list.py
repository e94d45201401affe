"""Tests of the platform's list as a hint."""

import unittest

from nose2.tools import params

from tests.decisions.serving.common import board, catalog


class TestPlatformList(unittest.TestCase):
    @params(
        (("s1-a",), ("s1-a",)),
        (("s1-a", "s2-b"), ("s1-a", "s2-b")),
        (("s1-a", "s1-b"), ()),
        (("nobody",), ()),
    )
    def test_listed_upstreams_get_no_new_work(
        self, listed: tuple[str, ...], drained: tuple[str, ...]
    ) -> None:
        desk = board(catalog(services=2, replicas=2))
        desk.listed(listed)
        found = tuple(sorted(name for name, item in desk.states.items() if item.draining))
        self.assertEqual(found, drained)

    def test_list_with_the_last_undrained_replica_is_not_heeded(self) -> None:
        desk = board(catalog(services=1, replicas=2))
        desk.drain_told(desk.states["s1-a"], True, 0.0)
        desk.listed(("s1-b",))
        self.assertFalse(desk.states["s1-b"].draining)

    def test_upstream_that_left_the_list_works_again(self) -> None:
        desk = board(catalog(services=1, replicas=2))
        self.assertEqual([item.name for item in desk.listed(("s1-a",))], ["s1-a"])
        self.assertEqual(desk.listed(("s1-a",)), [])
        desk.listed(())
        self.assertFalse(desk.states["s1-a"].draining)
