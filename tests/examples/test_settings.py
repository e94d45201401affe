"""Tests that the example settings load and fit their release notes."""

import pathlib
import unittest

from nose2.tools import params

from spindle_daemon.settings.const import ROLE_CONTROL, ROLE_ENTRY
from spindle_daemon.settings.loader import load_settings
from spindle_decisions.catalog.catalog import EMPTY_CATALOG
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note

EXAMPLES = pathlib.Path("examples")


class TestExampleSettings(unittest.TestCase):
    @params(("kervadec", 3, 9), ("association", 3, 6))
    def test_settings_fit_the_note(self, deployment: str, controls: int, entries: int) -> None:
        loaded = [
            load_settings(path) for path in sorted(EXAMPLES.glob(f"settings/{deployment}/*.ini"))
        ]
        note = parse_note((EXAMPLES / "notes" / f"{deployment}.ini").read_text())
        data_centers = {item.name for item in apply_note(EMPTY_CATALOG, note).data_centers}
        roles = [item.instance.role for item in loaded]
        self.assertEqual((roles.count(ROLE_CONTROL), roles.count(ROLE_ENTRY)), (controls, entries))
        self.assertEqual({item.instance.data_center for item in loaded}, data_centers)
        addresses = [item.mesh.listen for item in loaded]
        self.assertEqual(len(addresses), len(set(addresses)))
        names = {item.instance.name for item in loaded}
        for item in loaded:
            self.assertLessEqual({control.name for control in item.controls}, names)
            self.assertLessEqual({peer.name for peer in item.peers}, names)
