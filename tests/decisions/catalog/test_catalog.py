"""Tests of the catalog models."""

import unittest

from nose2.tools import params

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.group import Group
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.catalog.service import Service


class TestServiceEpochs(unittest.TestCase):
    @params(
        (1, None, 1, True),
        (2, None, 1, False),
        (1, 1, 2, False),
        (1, 2, 2, True),
    )
    def test_in_epoch(self, first: int, last: int | None, epoch: int, expected: bool) -> None:
        service = Service("comptoir-01", "comptoir", first, last)
        self.assertEqual(service.in_epoch(epoch), expected)


class TestCatalogIndex(unittest.TestCase):
    def test_services_of_counts_only_the_pinned_epoch(self) -> None:
        old = Service("a-1", "a", 1, 1)
        new = Service("a-2", "a", 2)
        index = CatalogIndex(Catalog(1, groups=(Group("a"),), services=(old, new)))
        self.assertEqual(index.services_of("a", 1), (old,))
        self.assertEqual(index.services_of("a", 2), (new,))

    def test_equal_content_has_equal_digests(self) -> None:
        self.assertEqual(Catalog(3).digest(), Catalog(3).digest())
        self.assertNotEqual(Catalog(3).digest(), Catalog(4).digest())
