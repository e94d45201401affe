"""Base class of tests with a fleet of real processes, a fake platform and scripted upstreams."""

import json
import pathlib
import tempfile
import unittest

import gevent

from tests.daemon.routed.common import Answer, Request, ScriptedUpstream, read_answer, request_bytes
from tests.fleet.loopback_fleet import LoopbackFleet
from tests.platform.test_plan_codec import DOCUMENT, LOOKUP_ROUTE
from tests.platform.test_upstream_source import VALID_ENTRY

HOST = "one.example"


def echo(request: Request) -> bytes:
    """Return an answer whose body is the request line."""
    return request.answer(request.line.encode())


class FleetCase(unittest.TestCase):
    """Prepares a fleet of control and entry instances and starts two upstreams."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="spindle-fleet-")
        self.addCleanup(folder.cleanup)
        self.fleet = LoopbackFleet(pathlib.Path(folder.name))
        self.addCleanup(self.fleet.close)
        self.upstreams = [ScriptedUpstream(f"i-{number}", "s0", echo) for number in range(2)]
        for upstream in self.upstreams:
            self.addCleanup(upstream.server.stop)
        entries = [
            {**VALID_ENTRY, "id": item.name, "address": f"127.0.0.1:{item.server.server_port}"}
            for item in self.upstreams
        ]
        self.fleet.platform.serve("", entries)

    def ask(self, name: str, target: str = "/a/1") -> Answer:
        """Send a request to an entry instance; without a connection the answer is empty."""
        try:
            address = (self.fleet.ip(name), self.fleet.front_port)
            sock = gevent.socket.create_connection(address, 2.0)
        except OSError:
            return Answer(b"", complete=False)
        with sock:
            sock.settimeout(5.0)
            try:
                sock.sendall(request_bytes(target, Host=HOST))
                return read_answer(sock)
            except ConnectionError:
                return Answer(b"", complete=False)


def plan_document(version: int, prefix: str = "/a/") -> bytes:
    """Return a plan with one lookup route."""
    route = {**LOOKUP_ROUTE, "pathPrefix": prefix}
    return json.dumps({**DOCUMENT, "version": version, "routes": [route]}).encode()
