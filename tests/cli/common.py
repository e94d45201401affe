"""A fake control instance and a base class for the tests of the command line."""

import pathlib
import socket
import tempfile
import time
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer
from typer.testing import CliRunner, Result

from spindle_cli.app import app
from spindle_decisions.exceptions import AuthError
from spindle_decisions.wire.request_signature import verify_request

KEY = b"a key of sixteen bytes or more"
Handler = Callable[[bytes, str], object]


class DroppedConnection(Exception):
    """Makes the fake drop the connection without an answer."""


class Refusal(Exception):
    """Makes the fake answer with an error."""

    def __init__(self, status: int, code: str, winner: str = "") -> None:
        super().__init__(code)
        self.status = status
        self.body = {"code": code, "text": f"text of {code}", "winner_digest": winner}


class SocketHandler(WSGIHandler):
    """Adds the socket to the environment, so that the fake can drop the connection."""

    def get_environ(self) -> dict[str, Any]:
        return {**super().get_environ(), "fake.socket": self.socket}


class FakeControl:
    """Checks signatures, answers with the registered handlers and records requests."""

    def __init__(self, name: str, wall_ms: Callable[[], int]) -> None:
        self.name = name
        self.wall_ms = wall_ms
        self.handlers: dict[str, Handler] = {}
        self.requests: list[tuple[str, bytes]] = []
        self.server = WSGIServer(
            ("127.0.0.1", 0), self.answer, log=None, error_log=None, handler_class=SocketHandler
        )
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.on("GET /v1/instances", self.instances)
        self.on("GET /v1/members", lambda _body, _query: [])

    def on(self, endpoint: str, handler: Handler) -> None:
        self.handlers[endpoint] = handler

    def instances(self, _body: bytes, _query: str) -> object:
        return [self.instance_row(self.name, "control", self.server.server_port)]

    def instance_row(self, name: str, role: str, port: int) -> dict[str, object]:
        return {
            "instance": name,
            "incarnation": 1,
            "data_center": "rennes-a",
            "role": role,
            "mesh_address": "tcp://127.0.0.1:1",
            "admin_host": "127.0.0.1",
            "admin_port": port,
            "leaving": False,
        }

    def answer(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        body = environ["wsgi.input"].read()
        method, path, query = (
            environ[key] for key in ("REQUEST_METHOD", "PATH_INFO", "QUERY_STRING")
        )
        self.requests.append((f"{method} {path}", body))
        try:
            verify_request(
                KEY,
                method,
                f"{path}?{query}" if query else path,
                environ.get("HTTP_X_SPINDLE_SIGNED_AT", ""),
                environ.get("HTTP_X_SPINDLE_SIGNATURE", ""),
                body,
                self.wall_ms(),
            )
            value = self.handlers[f"{method} {path}"](body, query)
        except AuthError as err:
            return self.send(start_response, 401, {"code": err.code, "text": str(err)})
        except Refusal as err:
            return self.send(start_response, err.status, err.body)
        except DroppedConnection:
            environ["fake.socket"].shutdown(socket.SHUT_RDWR)
            return []
        return self.send(start_response, 200, value)

    def send(self, start_response: Callable[..., Any], status: int, value: object) -> list[bytes]:
        data = msgspec.json.encode(value)
        start_response(f"{status} X", [("Content-Length", str(len(data)))])
        return [data]


class CliTestCase(unittest.TestCase):
    """Two fake control instances and a way to run commands against them."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.key_file = self.folder / "key"
        self.key_file.write_bytes(KEY + b"\n")
        self.first = self.control("control-a")
        self.second = self.control("control-b")

    def control(self, name: str) -> FakeControl:
        fake = FakeControl(name, lambda: int(time.time() * 1000))
        self.addCleanup(fake.server.stop)
        return fake

    def note(self, text: str = "[note]\nnumber = 1\n") -> str:
        path = self.folder / "note.ini"
        path.write_text(text)
        return str(path)

    def run_cli(self, *arguments: str, controls: tuple[str, ...] | None = None) -> Result:
        addresses = controls or (self.first.address, self.second.address)
        given = [word for address in addresses for word in ("--control", address)]
        options = ["--key-file", str(self.key_file), *given, *arguments]
        return CliRunner().invoke(app, options, env={"SPINDLE_CONTROLS": "", "COLUMNS": "200"})
