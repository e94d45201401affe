"""`script/test -k` runs the named test packages and modules, as the README documents."""

import pathlib
import re
import subprocess
import unittest

from nose2.tools import params

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 120.0


def run_selected(*names: str) -> subprocess.CompletedProcess[str]:
    """Run `script/test -k` with these names, outside the root of the repository."""
    return subprocess.run(
        [str(ROOT / "script" / "test"), "-k", *names],
        cwd="/",
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


class TestSelectedTests(unittest.TestCase):
    @params(
        ("package", ("tests.decisions.routing",)),
        ("module", ("tests.decisions.routing.test_plan",)),
        ("module of the platform folder", ("tests.platform.test_plan_codec",)),
        ("two modules", ("tests.decisions.routing.test_plan", "tests.platform.test_settings")),
    )
    def test_named_tests_run_and_pass(self, _what: str, names: tuple[str, ...]) -> None:
        done = run_selected(*names)
        count = re.search(r"Ran (\d+) tests?", done.stderr)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIsNotNone(count, done.stderr)
        assert count is not None
        self.assertGreater(int(count.group(1)), 1)

    def test_unknown_name_fails(self) -> None:
        self.assertNotEqual(run_selected("tests.decisions.routing.test_nothing").returncode, 0)
