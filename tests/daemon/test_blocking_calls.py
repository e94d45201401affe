"""The daemon waits only through gevent, as the standard library is not patched.

A call that blocks the thread would stop every request of the instance.
"""

import ast
import pathlib
import unittest
from collections.abc import Iterator

from nose2.tools import params

SOURCES = pathlib.Path(__file__).parents[2]
FOLDERS = ("packages/daemon/src", "packages/decisions/src", "platform")
BLOCKING_MODULES = frozenset(
    {
        "asyncio",
        "concurrent",
        "http.client",
        "multiprocessing",
        "queue",
        "select",
        "selectors",
        "socketserver",
        "ssl",
        "subprocess",
        "threading",
        "urllib.request",
    }
)
BLOCKING_CALLS = frozenset(
    {
        "os.system",
        "os.wait",
        "os.waitpid",
        "signal.pause",
        "socket.create_connection",
        "socket.create_server",
        "socket.getaddrinfo",
        "socket.gethostbyname",
        "socket.socket",
        "time.sleep",
    }
)


def blocking_uses(source: str) -> Iterator[str]:
    """Yield each blocking module that the source imports and each blocking call that it names."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Attribute):
            if ast.unparse(node) in BLOCKING_CALLS:
                yield ast.unparse(node)
            continue
        else:
            continue
        for name in names:
            modules = {name, name.rpartition(".")[0], name.partition(".")[0]}
            if modules & BLOCKING_MODULES or name in BLOCKING_CALLS:
                yield name


class TestBlockingCalls(unittest.TestCase):
    @params(
        ("import subprocess", 1),
        ("import http.client", 1),
        ("import http", 0),
        ("from threading import Lock", 1),
        ("from time import sleep", 1),
        ("import time\ntime.sleep(1)", 1),
        ("import socket\nsocket.socket()", 1),
        ("import gevent\ngevent.socket.socket()\ngevent.sleep(1)", 0),
        ("import socket\nsocket.AF_INET", 0),
    )
    def test_finds_blocking_uses(self, source: str, count: int) -> None:
        self.assertEqual(len(list(blocking_uses(source))), count, source)

    @params(*FOLDERS)
    def test_sources_do_not_block(self, folder: str) -> None:
        paths = sorted((SOURCES / folder).rglob("*.py"))
        self.assertTrue(paths)
        found = {
            str(path): names for path in paths if (names := list(blocking_uses(path.read_text())))
        }
        self.assertEqual(found, {})
