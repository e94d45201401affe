"""Tests of faulty callers and of the graceful shutdown."""

import contextlib
import unittest

import gevent
from gevent import socket
from nose2.tools import params

from tests.daemon.serving.common import GROUP, ServingTestBed, serving_test_bed, wait_until

PATH = f"/v1/groups/{GROUP}/query"
HEAD = f"POST {PATH} HTTP/1.1\r\nHost: x\r\n"
TIMEOUT_S = 5.0


def send_raw(bed: ServingTestBed, *parts: str, pause_s: float = 0.0) -> bytes:
    """Send the parts with a pause after each; return all bytes received until the close."""
    sock = socket.create_connection(("127.0.0.1", bed.entry.port), TIMEOUT_S)
    reader = gevent.spawn(receive_all, sock)
    with contextlib.suppress(ConnectionError):
        for part in parts:
            sock.sendall(part.encode())
            gevent.sleep(pause_s)
    received: bytes = reader.get()
    sock.close()
    return received


def receive_all(sock: socket.socket) -> bytes:
    """Return all bytes received until the connection is closed or reset."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := sock.recv(65536):
            received += data
    return received


class TestBadCallers(unittest.TestCase):
    @params(
        ("malformed JSON", PATH, b'{"query":', {}, 400),
        ("not an object", PATH, b"[1]", {}, 400),
        ("no query", PATH, b"{}", {}, 400),
        ("unknown field", PATH, b'{"query":1,"extra":2}', {}, 400),
        ("not UTF-8", PATH, b'{"query":"\xff"}', {}, 400),
        ("too large", PATH, b'{"query":"' + b"x" * 5000 + b'"}', {}, 400),
        ("deadline no number", PATH, b'{"query":1}', {"X-Spindle-Deadline-Ms": "soon"}, 400),
        ("deadline nan", PATH, b'{"query":1}', {"X-Spindle-Deadline-Ms": "nan"}, 400),
        ("deadline negative", PATH, b'{"query":1}', {"X-Spindle-Deadline-Ms": "-5"}, 400),
        ("coverage over one", PATH, b'{"query":1}', {"X-Spindle-Min-Coverage": "1.5"}, 400),
        ("unknown path", "/v2/groups", b"{}", {}, 400),
        ("unknown group", "/v1/groups/none/query", b'{"query":1}', {}, 404),
        ("unknown service", f"/v1/groups/{GROUP}/services/x/query", b'{"query":1}', {}, 404),
    )
    def test_refusal_has_a_code(
        self, _name: str, path: str, body: bytes, headers: dict[str, str], status: int
    ) -> None:
        with serving_test_bed() as bed:
            answer = bed.entry.post(path, body, headers)
            self.assertEqual(status, answer.status)
            self.assertEqual(answer.headers["x-spindle-code"], answer.body["code"])
            self.assertEqual(200, bed.entry.query().status)
            self.assertEqual(len(bed.entry.account.arrivals), len(bed.entry.account.records))
            self.assertEqual("refused", bed.entry.account.records[0].outcome)

    @params(
        ("garbage", ("garbage\r\n\r\n",), 0.0, b"400"),
        ("bad length", (HEAD + "Content-Length: x\r\n\r\n",), 0.0, b"400"),
        ("negative length", (HEAD + "Content-Length: -1\r\n\r\n",), 0.0, b"400"),
        ("too many headers", (HEAD + "A: b\r\n" * 200 + "\r\n",), 0.0, b"400"),
        ("half a head", (HEAD,), 0.0, b"408"),
        ("dripping request line", tuple("POST /slow"), 0.05, b"408"),
        ("dripping head", (HEAD, *("a: b\r\n" * 1,) * 12), 0.05, b"408"),
        ("half a body", (HEAD + "Content-Length: 20\r\n\r\n", "{"), 0.0, b"400"),
        ("dripping body", (HEAD + "Content-Length: 20\r\n\r\n", *"xxxxxxxxx"), 0.05, b"400"),
        ("bad chunks", (HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",), 0.0, b"400"),
        (
            "endless chunks",
            (HEAD + "Transfer-Encoding: chunked\r\n\r\n", *("400\r\n" + "x" * 1024 + "\r\n",) * 6),
            0.0,
            b"400",
        ),
    )
    def test_malformed_or_slow_request(
        self, _name: str, parts: tuple[str, ...], pause_s: float, status: bytes
    ) -> None:
        with serving_test_bed(entry={"idle_timeout_ms": 60_000}) as bed:
            received = send_raw(bed, *parts, pause_s=pause_s)
            self.assertEqual(b"HTTP/1.1 " + status, received[:12])
            self.assertIn(b"X-Spindle-Code: ", received)
            self.assertEqual(200, bed.entry.query().status)

    def test_too_many_callers(self) -> None:
        with serving_test_bed(entry={"max_callers": 3}) as bed:
            idle = [socket.create_connection(("127.0.0.1", bed.entry.port)) for _ in range(3)]
            gevent.sleep(0.05)
            self.assertIn(b"overloaded", send_raw(bed))
            for sock in idle:
                sock.close()
            wait_until(self, lambda: send_raw(bed, "GET /livez HTTP/1.0\r\n\r\n")[9:12] == b"200")

    def test_idle_caller_is_closed(self) -> None:
        with serving_test_bed(entry={"idle_timeout_ms": 100}) as bed:
            self.assertEqual(b"", send_raw(bed))


class TestShutdown(unittest.TestCase):
    def test_requests_are_served_until_the_stop_lag_ends(self) -> None:
        """Requests before and during `stop_lag_ms` are served, later ones are refused."""
        with serving_test_bed(median_ms=400.0, entry={"stop_lag_ms": 200}) as bed:
            path = f"/v1/groups/{GROUP}/query"
            early = gevent.spawn(bed.entry.query)
            gevent.sleep(0.05)
            stopping = gevent.spawn(bed.entry.spindle.stop)
            gevent.sleep(0.05)
            self.assertEqual(503, bed.entry.get("/readyz").status)
            self.assertEqual(200, bed.entry.get("/livez").status)
            client = bed.entry.client()
            lagging = gevent.spawn(client.post, path, b'{"query":1}')
            gevent.sleep(0.25)
            refused = bed.entry.query()
            self.assertEqual((503, "leaving"), (refused.status, refused.body["code"]))
            self.assertEqual("close", refused.headers["connection"])
            self.assertEqual([], early.get().body["missing"])
            response = lagging.get()
            self.assertEqual((200, "close"), (response.status_code, response["connection"]))
            stopping.join(TIMEOUT_S)
            self.assertTrue(stopping.ready())
            self.assertEqual(len(bed.entry.account.arrivals), len(bed.entry.account.records))
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", bed.entry.port))
            bed.entry.spindle.stop_hooks.clear()
