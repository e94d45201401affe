"""The checks of an old build run to the end and report what they got."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from bench.build import ROOT, Build
from bench.old_build import run_checks


class TestRunChecks(unittest.TestCase):
    def test_unexpected_answer_fails_its_own_check_only(self) -> None:
        """Regression: a refusal without an outcome ended the whole run with a `KeyError`."""
        ran: list[str] = []

        def refused(_old: Build, _new: Build, _folder: pathlib.Path) -> None:
            raise KeyError("outcome")

        def passed(_old: Build, _new: Build, folder: pathlib.Path) -> None:
            ran.append(folder.name)

        build = Build("this tree", ROOT)
        printed = io.StringIO()
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(printed):
            checks = (("first", refused), ("second", passed))
            failed = run_checks(checks, build, build, pathlib.Path(folder))
        self.assertEqual((failed, ran), (1, ["check-1"]))
        self.assertIn("first: FAILED: KeyError: 'outcome'", printed.getvalue())
        self.assertIn("second: ok", printed.getvalue())
