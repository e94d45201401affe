"""Tests that the example notes have the sizes of the deployments."""

import pathlib
import unittest

from nose2.tools import params

from spindle_decisions.catalog.catalog import EMPTY_CATALOG
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note

FOLDER = pathlib.Path(__file__).parents[3] / "examples" / "notes"


class TestExamples(unittest.TestCase):
    @params(
        ("kervadec.ini", 4, "comptoir", "query", 20, 2, 25),
        ("kervadec.ini", 4, "facturation", "query", 30, 2, 25),
        ("kervadec.ini", 4, "reservations", "request", 1, 4, 100),
        ("kervadec.ini", 4, "tournees", "request", 1, 4, 100),
        ("association.ini", 3, "cistern-board", "query", 20, 2, 25),
        ("association.ini", 3, "member-roll", "query", 30, 2, 25),
        ("association.ini", 3, "buyer-desk", "request", 1, 4, 40),
        ("association.ini", 3, "mesh-stock", "request", 1, 3, 40),
    )
    def test_sizes(
        self,
        name: str,
        data_centers: int,
        group: str,
        kind: str,
        services: int,
        upstreams: int,
        connections: int,
    ) -> None:
        catalog = apply_note(EMPTY_CATALOG, parse_note((FOLDER / name).read_text()))
        index = CatalogIndex(catalog)
        self.assertEqual(len(catalog.data_centers), data_centers)
        self.assertEqual(index.groups[group].kind, kind)
        self.assertEqual(len(index.services_of(group, 1)), services)
        for service in index.services_of(group, 1):
            replicas = index.by_service[service.name]
            self.assertEqual(len(replicas), upstreams)
            self.assertEqual(
                {(item.slots, item.connections) for item in replicas}, {(2, connections)}
            )
            self.assertGreater(len({item.data_center for item in replicas}), 1)
