"""Tests of parsing release notes."""

import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from spindle_decisions.exceptions import NoteError
from spindle_decisions.notes.const import MAX_NOTE_BYTES, MAX_SECTIONS
from spindle_decisions.notes.parser import parse_note
from tests.decisions.notes.common import BASE, NOTE_ID, note_text

UPSTREAM_TEMPLATE = "[added upstream u]\nservice = s\ndata-center = d\naddress = {}\n"
_TOKENS = st.sampled_from(
    [*note_text(BASE).splitlines(), "[DEFAULT]", "[]", "[added group]", "[added group A]"]
    + ["kind = a%(b)s", " indented", "=", "epoch = -1", "[a] b = c", "\r", "\x00", "\u2028x"]
    + ["slots = \u0663", "min-coverage = nan", "[changed upstream comptoir-01-a]", "address = ::"]
)


class TestParseNote(unittest.TestCase):
    def test_values_are_typed(self) -> None:
        note = parse_note(note_text(BASE))
        upstream = {item.field: item.value for item in note.changes[-1].settings}
        self.assertEqual((note.number, note.note_id, note.author), (1, NOTE_ID, "yann"))
        self.assertEqual((upstream["host"], upstream["port"]), ("127.0.0.1", 9001))
        self.assertEqual(note.changes[-1].line, 15)

    @params(
        (BASE, "# remark\n" + BASE.replace(" = ", "  =  "), True),
        ("[added group a]\nkind=query\nepoch=2\n", "[added group a]\nepoch=2\nkind=query\n", True),
        (BASE, BASE.replace("9001", "9002"), False),
        (BASE, BASE.replace("added data-center rennes-a", "added data-center rennes-b"), False),
    )
    def test_digest_covers_content_only(self, one: str, other: str, equal: bool) -> None:
        digests = parse_note(note_text(one)).digest, parse_note(note_text(other)).digest
        self.assertEqual(digests[0] == digests[1], equal)

    @params(
        ("[added group g]\nkind = soon\n", "[added group g] kind = 'soon'", "query or request"),
        ("[added group g]\n", "[added group g] kind missing", "epoch, kind"),
        ("[added group g]\nkind = query\ncolor = red\n", "line 7, [added group g] color", "keys"),
        ("[added group G]\nkind = query\n", "name = 'G'", "a-z, 0-9"),
        ("[added group " + "g" * 64 + "]\nkind = query\n", "name = 'ggg", "1 to 63"),
        ("[added grupe g]\nkind = query\n", "[added grupe g]", "data-center, group"),
        ("[added group g] kind = query\n", "line 5", "nothing behind"),
        ("[added group g]\nkind = query\nepoch = 1_0\n", "epoch = '1_0'", "from 1 to"),
        ("[added group g]\nkind = query\nepoch = 0\n", "epoch = '0'", "from 1 to"),
        ("[added group g]\nkind = query\nmin-coverage = 1.5\n", "'1.5'", "0 to 1"),
        ("[changed group g]\n", "[changed group g] key missing", "at least one key"),
        ("[changed upstream u]\ndraining = true\n", "draining = 'true'", "yes or no"),
        ("[changed service s]\nlast-epoch = never\n", "last-epoch = 'never'", "or none"),
        ("[changed upstream u]\nservice = s\n", "service = 's'", "one of the keys address"),
        ("[withdrawn group g]\nkind = query\n", "kind = 'query'", "no key here"),
        (UPSTREAM_TEMPLATE.format("localhost:80"), "address = 'localhost:80'", "IP number"),
        (UPSTREAM_TEMPLATE.format("127.0.0.1:0"), "address", "port from 1"),
        (UPSTREAM_TEMPLATE.format("127.0.0.01:80"), "address", "IP number"),
        (UPSTREAM_TEMPLATE.format("0.0.0.0:80"), "address", "unspecified"),
        (UPSTREAM_TEMPLATE.format("::1:80"), "address", "[::1]:9001"),
        ("[added group g]\nkind = query\n[changed group g]\nepoch = 2\n", "line 7", "one section"),
        ("[added group g]\nkind = query\nkind = query\n", "kind", "already exists"),
        ("[DEFAULT]\nkind = query\n[added group g]\n", "[DEFAULT]", "three words"),
        ("", "no change", "at least one section"),
    )
    def test_error_names_place_and_what_is_allowed(self, body: str, *parts: str) -> None:
        with self.assertRaises(NoteError) as caught:
            parse_note(note_text(body))
        for part in parts:
            self.assertIn(part, str(caught.exception))

    @params(
        ("[note]\nnumber = 1\n", "author missing"),
        ("[note]\nnumber = 1\nauthor = yann\n", "id missing"),
        (BASE, "[note] is missing"),
        (note_text(BASE, number=0), "number = '0'"),
        (note_text(BASE, note_id=NOTE_ID.upper()), "id = "),
        (note_text(BASE, author="y" * 65), "author"),
        (note_text(BASE) + "\x00", "not allowed"),
        (note_text(BASE) + "#\ud800", "Unicode"),
        ("#" * (MAX_NOTE_BYTES + 1), "larger"),
        ("é" * (MAX_NOTE_BYTES // 2 + 1), "allowed are"),
    )
    def test_bad_header_or_text(self, text: str, part: str) -> None:
        with self.assertRaisesRegex(NoteError, part.replace("[", r"\[")):
            parse_note(text)

    def test_too_many_sections_are_refused_quickly(self) -> None:
        body = "".join(f"[withdrawn group g{i}]\n" for i in range(MAX_SECTIONS + 1))
        start = time.monotonic()
        with self.assertRaisesRegex(NoteError, "sections"):
            parse_note(note_text(body))
        self.assertLess(time.monotonic() - start, 5.0)

    @settings(derandomize=True, database=None, deadline=None, max_examples=400)
    @given(st.one_of(st.text(), st.lists(_TOKENS, max_size=30).map("\n".join)))
    def test_parser_raises_only_note_errors(self, text: str) -> None:
        for candidate in (text, note_text(text)):
            try:
                note = parse_note(candidate)
            except NoteError:
                continue
            self.assertEqual(parse_note(candidate), note)
