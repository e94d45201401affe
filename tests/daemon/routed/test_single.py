"""Lookups: byte for byte, at most once, and nobody else's answer."""

import contextlib
import unittest

import gevent
import msgspec
from nose2.tools import params

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import (
    ID,
    Request,
    Script,
    ScriptedUpstream,
    read_answer,
    request_bytes,
    tier,
)
from tests.decisions.routing.common import single_route

ONCE = (single_route(idempotent=False),)


def good(request: Request) -> bytes:
    """Answer well."""
    return request.answer(b"the body", X_More="yes")


def desk(script: Script, name: str = "u1", closes: bool = False) -> ScriptedUpstream:
    """Return an upstream of the service `desk`."""
    return ScriptedUpstream(name, "desk", script, closes)


def first_then_good(first: Script) -> tuple[ScriptedUpstream, ScriptedUpstream, list[Request]]:
    """Return two upstreams; whichever is asked first follows `first`, the other is good."""
    seen: list[Request] = []

    def script(request: Request) -> bytes:
        seen.append(request)
        return first(request) if len(seen) == 1 else good(request)

    return desk(script, "u1"), desk(script, "u2"), seen


class TestPassedOn(unittest.TestCase):
    def test_request_and_answer_byte_for_byte(self) -> None:
        upstream = desk(good)
        with tier(upstream) as entry:
            target = "/lookup/%2e%2E/a%20b//?q=%41&&r=/x"
            answer = entry.ask(target, "PUT", b"\x00\r\n\r\nbytes", X_Own="a,  b")
        request = upstream.requests[0]
        self.assertEqual(request.line, f"PUT {target} HTTP/1.1")
        self.assertEqual(request.body, b"\x00\r\n\r\nbytes")
        self.assertEqual(request.headers["x-own"], "a,  b")
        self.assertEqual(request.headers[HEADERS.expect_upstream], "u1")
        self.assertLessEqual(int(request.headers[HEADERS.deadline_ms]), 2000)
        self.assertEqual((answer.status, answer.body), (200, b"the body"))
        self.assertEqual(answer.headers["x-more"], "yes")
        self.assertEqual(answer.headers[HEADERS.signature], "stamp-u1")

    def test_a_body_in_chunks_arrives_whole(self) -> None:
        upstream = desk(good)
        with tier(upstream) as entry, contextlib.closing(entry.connect()) as sock:
            head = request_bytes("/lookup/1", "POST", Transfer_Encoding="chunked")
            sock.sendall(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            self.assertEqual(read_answer(sock).status, 200)
        self.assertEqual(upstream.requests[0].body, b"abcde")
        self.assertNotIn("transfer-encoding", upstream.requests[0].headers)

    def test_headers_of_one_connection_stay_there(self) -> None:
        upstream = desk(good)
        with tier(upstream) as entry:
            entry.ask("/lookup/1", Connection="X-Hop, keep-alive", X_Hop="1", TE="trailers")
        self.assertFalse({"x-hop", "te", "connection"} & set(upstream.requests[0].headers))

    def test_a_failure_of_the_upstream_is_passed_on(self) -> None:
        with tier(desk(lambda request: request.answer(b"no", "500 Oops"))) as entry:
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, answer.body), (500, b"no"))

    @params(("/other/1", 404), ("/lookup/1", 200))
    def test_route(self, target: str, status: int) -> None:
        with tier(desk(good)) as entry:
            self.assertEqual(entry.ask(target).status, status)


class TestFailures(unittest.TestCase):
    """Each case: what the first upstream does, and what the caller may get."""

    @params(
        ("no answer", lambda request: b"", 502),
        ("cut short", lambda request: request.answer(b"long body")[:-3], 502),
        ("no HTTP", lambda request: b"\x00\x01garbage\r\n\r\n", 502),
        ("other id", lambda request: request.answer().replace(b"id-1", b"id-2"), 502),
        ("no id", lambda request: request.answer().replace(ID.encode(), b"x-other"), 502),
    )
    def test_a_broken_answer_is_never_a_success(
        self, _name: str, first: Script, status: int
    ) -> None:
        one, two, seen = first_then_good(first)
        one.closes = two.closes = True
        with tier(one, two, routes=ONCE) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x")
        self.assertEqual((answer.status, len(seen)), (status, 1))
        self.assertNotIn("retry-after", answer.headers)

    @params(
        ("no answer", lambda request: b""),
        ("cut short", lambda request: request.answer(b"long body")[:-3]),
        ("other id", lambda request: request.answer().replace(b"id-1", b"id-2")),
    )
    def test_an_idempotent_request_goes_out_again(self, _name: str, first: Script) -> None:
        one, two, seen = first_then_good(first)
        one.closes = two.closes = True
        with tier(one, two) as entry:
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, len(seen)), (200, 2))

    @params(Request.not_run, lambda request: request.answer(b"", "421 Misdirected"))
    def test_what_did_not_run_goes_out_again(self, first: Script) -> None:
        one, two, seen = first_then_good(first)
        with tier(one, two, routes=ONCE) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x")
        self.assertEqual((answer.status, len(seen)), (200, 2))

    def test_not_run_is_said_with_when_to_come_back(self) -> None:
        with tier(desk(Request.not_run), routes=ONCE) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_refused_connections_are_no_attempts(self) -> None:
        gone = desk(good, "u1")
        gone.server.stop()
        with tier(gone, desk(good, "u2"), routes=ONCE) as entry:
            self.assertEqual(entry.ask("/lookup/1", "POST", b"x").status, 200)

    def test_deadline(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.5)
            return good(request)

        with tier(desk(slow), routes=ONCE) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x", **{HEADERS.deadline_ms: "100"})
        self.assertEqual(answer.status, 504)

    def test_without_upstreams_it_is_refused_at_once(self) -> None:
        with tier(desk(good)) as entry:
            entry.list_upstreams()
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True))

    def test_a_draining_upstream_gets_nothing(self) -> None:
        old, new = desk(good, "old"), desk(good, "new")
        with tier(old, new) as entry:
            entry.list_upstreams(msgspec.structs.replace(old.listed(), draining=True), new.listed())
            for _ in range(4):
                self.assertEqual(entry.ask("/lookup/1").status, 200)
        self.assertEqual((len(old.requests), len(new.requests)), (0, 4))


class TestConnections(unittest.TestCase):
    def test_they_are_kept(self) -> None:
        upstream = desk(good)
        with tier(upstream) as entry:
            for _ in range(5):
                entry.ask("/lookup/1")
        self.assertEqual((upstream.connections, len(upstream.requests)), (1, 5))

    @params(
        ("a second answer", lambda request: 2 * request.answer()),
        ("garbage behind", lambda request: request.answer() + b"garbage"),
        ("close", lambda request: request.answer(Connection="close")),
        ("about to close", lambda request: request.answer(Keep_Alive="timeout=0")),
    )
    def test_one_that_is_not_clean_is_not_kept(self, _name: str, script: Script) -> None:
        upstream = desk(script)
        with tier(upstream) as entry:
            for _ in range(3):
                self.assertEqual(entry.ask("/lookup/1").body, b"x")
        self.assertEqual(upstream.connections, 3)

    def test_a_late_second_answer_belongs_to_nobody(self) -> None:
        def late(request: Request) -> bytes:
            if request.number == 0:
                gevent.spawn_later(0.05, request.sock.sendall, request.answer(b"late"))
            return request.answer(b"good")

        upstream = desk(late)
        with tier(upstream) as entry:
            entry.ask("/lookup/1")
            gevent.sleep(0.1)
            answer = entry.ask("/lookup/1", **{ID: "id-2"})
        self.assertEqual((answer.body, upstream.connections), (b"good", 2))

    def test_an_answer_without_length_ends_with_its_connection(self) -> None:
        def unframed(request: Request) -> bytes:
            return request.answer(b"all of it").replace(b"Content-Length: 9\r\n", b"")

        with tier(desk(unframed, closes=True)) as entry:
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    def test_a_caller_that_leaves_cancels_its_work(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.3)
            for _ in range(20):
                request.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
                gevent.sleep(0.01)
            return good(request)

        upstream = desk(slow)
        with tier(upstream, routes=ONCE) as entry:
            sock = entry.connect()
            sock.sendall(request_bytes("/lookup/1", "POST", b"x"))
            gevent.sleep(0.1)
            sock.close()
            gevent.sleep(0.8)
        self.assertEqual(upstream.cancelled, 1)
