"""Tests that random notes on a small deployment never leave an inconsistent catalog."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from spindle_decisions.catalog.catalog import Catalog
from spindle_decisions.catalog.index import CatalogIndex
from spindle_decisions.exceptions import NoteError
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note
from tests.decisions.notes.common import build_catalog, note_text

_NAMES = st.sampled_from(["x", "y"])
_EPOCHS = st.integers(1, 3)
_LAST_EPOCHS = st.sampled_from(["none", "1", "2"])
_BASE = (
    "[added data-center x]\n[added group x]\nkind = query\n"
    "[added service x]\ngroup = x\n[added service y]\ngroup = x\n"
)
_SECTIONS = st.one_of(
    st.builds("[added data-center {}]\n".format, _NAMES),
    st.builds("[withdrawn {} {}]\n".format, st.sampled_from(["data-center", "group"]), _NAMES),
    st.builds("[withdrawn {} {}]\n".format, st.sampled_from(["service", "upstream"]), _NAMES),
    st.builds("[added group {}]\nkind = query\nepoch = {}\n".format, _NAMES, _EPOCHS),
    st.builds("[changed group {}]\nepoch = {}\n".format, _NAMES, _EPOCHS),
    st.builds("[added service {}]\ngroup = {}\nfirst-epoch = {}\n".format, _NAMES, _NAMES, _EPOCHS),
    st.builds(
        "[changed service {}]\nlast-epoch = {}\n".format,
        _NAMES,
        st.one_of(_EPOCHS, st.just("none")),
    ),
    st.builds(
        "[added upstream {}]\nservice = {}\ndata-center = {}\naddress = 127.0.0.1:{}\n".format,
        *(_NAMES, _NAMES, _NAMES, _EPOCHS),
    ),
    st.builds("[changed upstream {}]\naddress = 127.0.0.1:{}\n".format, _NAMES, _EPOCHS),
)
_NOTES = st.lists(_SECTIONS, min_size=1, max_size=4).map("".join)


def _assert_consistent(before: Catalog, after: Catalog) -> None:
    """Assert that references exist, addresses are unique and no current partition changed."""
    index = CatalogIndex(after)
    data_centers = {item.name for item in after.data_centers}
    assert after.version == before.version + 1
    assert all(item.data_center in data_centers for item in after.upstreams)
    assert len({(item.host, item.port) for item in after.upstreams}) == len(after.upstreams)
    old = CatalogIndex(before)
    for name in old.groups.keys() & index.groups.keys():
        epoch = old.groups[name].epoch
        assert index.groups[name].epoch >= epoch
        for service in old.by_group[name]:
            if service.name not in index.services:
                continue
            assert service.in_epoch(epoch) == index.services[service.name].in_epoch(epoch)
        if old.services_of(name, epoch):
            assert index.services_of(name, index.groups[name].epoch)


class TestRandomNotes(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @given(st.lists(_NOTES, min_size=1, max_size=12))
    def test_accepted_notes_leave_a_consistent_catalog(self, bodies: list[str]) -> None:
        catalog = build_catalog(_BASE)
        for body in bodies:
            try:
                changed = apply_note(catalog, parse_note(note_text(body)))
            except NoteError:
                continue
            _assert_consistent(catalog, changed)
            catalog = changed
