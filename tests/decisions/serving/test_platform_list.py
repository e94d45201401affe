"""Tests of how the pool applies the platform's list of leaving upstreams."""

import unittest

from nose2.tools import params

from tests.decisions.serving.common import catalog_index, upstream_pool


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
        pool = upstream_pool(catalog_index(services=2, replicas=2))
        pool.on_platform_list(listed)
        draining = tuple(sorted(name for name, item in pool.states.items() if item.draining))
        self.assertEqual(draining, drained)

    def test_list_with_the_last_undrained_replica_is_ignored(self) -> None:
        pool = upstream_pool(catalog_index(services=1, replicas=2))
        pool.on_drain_reported(pool.states["s1-a"], True, 0.0)
        pool.on_platform_list(("s1-b",))
        self.assertFalse(pool.states["s1-b"].draining)

    def test_upstream_that_left_the_list_gets_work_again(self) -> None:
        pool = upstream_pool(catalog_index(services=1, replicas=2))
        self.assertEqual([item.name for item in pool.on_platform_list(("s1-a",))], ["s1-a"])
        self.assertEqual(pool.on_platform_list(("s1-a",)), [])
        pool.on_platform_list(())
        self.assertFalse(pool.states["s1-a"].draining)
