"""Tests of applying release notes to a catalog."""

import unittest

from nose2.tools import params

from spindle_decisions.catalog.catalog import EMPTY_CATALOG
from spindle_decisions.exceptions import NoteError
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note
from tests.decisions.notes.common import BASE, build_catalog, note_text

UPSTREAM_TEMPLATE = (
    "[added upstream {name}]\nservice = {service}\ndata-center = {dc}\naddress = {address}\n"
)
NEXT_EPOCH = "[changed group comptoir]\nepoch = 2\n"
RETIRE_BOTH = (
    "[changed service comptoir-01]\nlast-epoch = 1\n[changed service comptoir-02]\nlast-epoch = 1\n"
)
ADD_THIRD = "[added service comptoir-03]\ngroup = comptoir\nfirst-epoch = 2\n"


def _upstream(name: str, service: str, dc: str, address: str) -> str:
    return UPSTREAM_TEMPLATE.format(name=name, service=service, dc=dc, address=address)


class TestApplyNote(unittest.TestCase):
    def test_order_of_sections_does_not_matter(self) -> None:
        sections = ["[" + part for part in BASE.split("[")[1:]]
        catalog = build_catalog("".join(reversed(sections)))
        self.assertEqual(catalog, build_catalog(BASE))
        self.assertEqual([item.name for item in catalog.services], ["comptoir-01", "comptoir-02"])

    @params(
        ("[withdrawn upstream comptoir-01-a]\n[withdrawn service comptoir-01]\n",),
        (RETIRE_BOTH + ADD_THIRD + NEXT_EPOCH,),
        ("[changed upstream comptoir-01-a]\ndraining = yes\n",),
        (_upstream("b", "comptoir-02", "rennes-a", "[::1]:9001"),),
    )
    def test_version_grows_by_one(self, body: str) -> None:
        self.assertEqual(build_catalog(BASE, body).version, 2)

    @params(
        ("[added group comptoir]\nkind = query\n", "exists already"),
        ("[changed group nowhere]\nepoch = 2\n", "does not exist"),
        ("[withdrawn upstream nowhere]\n", "does not exist"),
        ("[withdrawn service comptoir-01]\n", "upstream comptoir-01-a still uses it"),
        ("[withdrawn data-center rennes-a]\n", "upstream comptoir-01-a still uses it"),
        ("[withdrawn group comptoir]\n", "service comptoir-01 still uses it"),
        ("[added service x]\ngroup = nowhere\n", "group = 'nowhere'"),
        (_upstream("b", "nowhere", "rennes-a", "127.0.0.1:1"), "service = 'nowhere'"),
        (_upstream("b", "comptoir-01", "nowhere", "127.0.0.1:1"), "data-center = 'nowhere'"),
        (_upstream("b", "comptoir-01", "rennes-a", "127.0.0.1:9001"), "upstream comptoir-01-a"),
        (
            _upstream("z", "comptoir-01", "rennes-a", "127.0.0.1:9001"),
            r"upstream z\].*no other",
        ),
        (NEXT_EPOCH + RETIRE_BOTH, "no service in epoch 2"),
        ("[added service x]\ngroup = comptoir\nfirst-epoch = 3\n", "at most 2"),
        ("[added service x]\ngroup = comptoir\nfirst-epoch = 2\nlast-epoch = 1\n", "at least"),
        ("[changed service comptoir-01]\nfirst-epoch = 2\n", "part of epoch 1"),
    )
    def test_refused_note_changes_nothing(self, body: str, part: str) -> None:
        before = build_catalog(BASE)
        harmless = "[added data-center vannes-c]\n"
        with self.assertRaisesRegex(NoteError, part):
            apply_note(before, parse_note(note_text(harmless + body)))
        self.assertEqual(before, build_catalog(BASE))

    def test_last_service_of_the_epoch_stays(self) -> None:
        body = (
            "[withdrawn upstream comptoir-01-a]\n[withdrawn service comptoir-01]\n"
            "[withdrawn service comptoir-02]\n"
        )
        with self.assertRaisesRegex(NoteError, "withdrawn service comptoir-01.*no service"):
            build_catalog(BASE, body)

    def test_epoch_never_decreases(self) -> None:
        with self.assertRaisesRegex(NoteError, "epoch = '1'.*never decreases"):
            build_catalog(BASE, NEXT_EPOCH, "[changed group comptoir]\nepoch = 1\n")

    def test_retirement_does_not_change_the_current_epoch(self) -> None:
        with self.assertRaisesRegex(NoteError, "part of epoch 2"):
            build_catalog(BASE, NEXT_EPOCH, "[changed service comptoir-02]\nlast-epoch = 1\n")

    def test_missing_keys_have_the_defaults(self) -> None:
        catalog = apply_note(
            EMPTY_CATALOG, parse_note(note_text("[added group g]\nkind = request\n"))
        )
        self.assertEqual((catalog.groups[0].epoch, catalog.groups[0].target_ms), (1, 330))
