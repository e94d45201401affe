"""Tests of the truncation of error texts."""

import re
import unittest

from nose2.tools import params

from spindle_decisions.exceptions import MAX_TEXT_CHARS, SettingsError, SpindleError, truncate_text


class TestTexts(unittest.TestCase):
    @params("", "[mesh] listen = nowhere: allowed: tcp://IP:PORT", "x" * MAX_TEXT_CHARS)
    def test_short_text_is_unchanged(self, text: str) -> None:
        self.assertEqual(str(SpindleError(text)), text)

    def test_long_text_keeps_both_ends(self) -> None:
        text = str(
            SettingsError("[mesh] listen = " + "x" * 10_000_000 + ": allowed: tcp://IP:PORT")
        )
        self.assertLessEqual(len(text), MAX_TEXT_CHARS)
        self.assertTrue(text.startswith("[mesh] listen = xxx"))
        self.assertTrue(text.endswith("xxx: allowed: tcp://IP:PORT"))
        self.assertIn("characters left out", text)

    @params(401, 500, 10_000)
    def test_marker_counts_the_characters_left_out(self, length: int) -> None:
        text = truncate_text("x" * length)
        self.assertLessEqual(len(text), MAX_TEXT_CHARS)
        found = re.search(r"(\d+) characters left out", text)
        assert found is not None
        self.assertEqual(int(found[1]) + text.count("x"), length)
