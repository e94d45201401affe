import pathlib
import tempfile
import unittest
from collections.abc import Callable

import typer
from nose2.tools import params

from spindle_decisions.exceptions import SettingsError
from spindle_devkit.endpoint import Endpoint
from spindle_devkit.proxy.load_settings import load_settings as load_proxy
from spindle_devkit.proxy.main import run as run_proxy
from spindle_devkit.upstream.load_settings import load_settings as load_upstream
from spindle_devkit.upstream.main import run as run_upstreams

UPSTREAM = "[upstream a]\nservice = s\nlisten = 127.0.0.1:1\n"
PROXY = "[proxy]\nlisten = 127.0.0.1:1\n"


def write(text: str) -> pathlib.Path:
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(text)
    return pathlib.Path(file.name)


class TestSettings(unittest.TestCase):
    def test_defaults_reach_every_upstream(self) -> None:
        defaults = "[DEFAULT]\nmedian-ms = 4\nsnapshots = 1.1 2.1\n"
        path = write(f"{defaults}[standin]\nlisten = 127.0.0.1:9\n{UPSTREAM}")
        self.addCleanup(path.unlink)
        settings = load_upstream(path)
        self.assertEqual(settings.control, Endpoint("127.0.0.1", 9))
        self.assertEqual(settings.upstreams[0].median_ms, 4.0)
        self.assertEqual(settings.upstreams[0].snapshots, ("1.1", "2.1"))

    @params(
        (UPSTREAM + "slots = many\n", r"\[upstream a\].*slots"),
        (UPSTREAM + "slot = 2\n", r"\[upstream a\].*slot"),
        (UPSTREAM + "straggler-ratio = 2\n", r"\[upstream a\].*straggler-ratio"),
        (UPSTREAM + "snapshots = 7\n", "epoch.version"),
        ("[standin]\nlisten = 127.0.0.1:1\n", "upstream NAME"),
    )
    def test_wrong_upstream_settings_are_named(self, text: str, error: str) -> None:
        path = write(text)
        self.addCleanup(path.unlink)
        with self.assertRaisesRegex(SettingsError, error):
            load_upstream(path)

    @params(
        (PROXY + "[link a]\nlisten = 127.0.0.1:1\n", r"\[link a\].*target"),
        (PROXY + "[link a]\nlisten = 1\ntarget = 127.0.0.1:1\n", r"\[link a\].*listen"),
        ("[link a]\n", "proxy"),
    )
    def test_wrong_proxy_settings_are_named(self, text: str, error: str) -> None:
        path = write(text)
        self.addCleanup(path.unlink)
        with self.assertRaisesRegex(SettingsError, error):
            load_proxy(path)

    @params(run_upstreams, run_proxy)
    def test_wrong_settings_end_the_process_with_code_2(
        self, run: Callable[[pathlib.Path], None]
    ) -> None:
        path = write("[unknown]\n")
        self.addCleanup(path.unlink)
        with self.assertRaises(typer.Exit) as caught, self.assertLogs(level="ERROR"):
            run(path)
        self.assertEqual(caught.exception.exit_code, 2)
