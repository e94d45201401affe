"""Tests of requests that one upstream answers: forwarding, failures and connections."""

import contextlib
import unittest

import gevent
import msgspec
from nose2.tools import params

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import (
    ID,
    Request,
    ScriptedUpstream,
    UpstreamScript,
    read_answer,
    request_bytes,
    routed_harness,
)
from tests.decisions.routing.common import single_route

NON_IDEMPOTENT_ROUTES = (single_route(idempotent=False),)


def good_answer(request: Request) -> bytes:
    """Return a good answer."""
    return request.answer(b"the body", X_More="yes")


def lookup_upstream(
    script: UpstreamScript, name: str = "u1", closes: bool = False
) -> ScriptedUpstream:
    """Return an upstream of the service `desk`."""
    return ScriptedUpstream(name, "desk", script, closes)


def first_scripted_then_good(
    first: UpstreamScript,
) -> tuple[ScriptedUpstream, ScriptedUpstream, list[Request]]:
    """Return two upstreams and their requests; the first request gets the answer of `first`."""
    seen: list[Request] = []

    def script(request: Request) -> bytes:
        seen.append(request)
        return first(request) if len(seen) == 1 else good_answer(request)

    return lookup_upstream(script, "u1"), lookup_upstream(script, "u2"), seen


class TestForwarding(unittest.TestCase):
    def test_forwards_request_and_answer_byte_for_byte(self) -> None:
        upstream = lookup_upstream(good_answer)
        with routed_harness(upstream) as entry:
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

    def test_chunked_body_is_forwarded_with_length(self) -> None:
        upstream = lookup_upstream(good_answer)
        with routed_harness(upstream) as entry, contextlib.closing(entry.connect()) as sock:
            head = request_bytes("/lookup/1", "POST", Transfer_Encoding="chunked")
            sock.sendall(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            self.assertEqual(read_answer(sock).status, 200)
        self.assertEqual(upstream.requests[0].body, b"abcde")
        self.assertNotIn("transfer-encoding", upstream.requests[0].headers)

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        upstream = lookup_upstream(good_answer)
        with routed_harness(upstream) as entry:
            entry.ask("/lookup/1", Connection="X-Hop, keep-alive", X_Hop="1", TE="trailers")
        self.assertFalse({"x-hop", "te", "connection"} & set(upstream.requests[0].headers))

    def test_upstream_failure_is_forwarded(self) -> None:
        with routed_harness(
            lookup_upstream(lambda request: request.answer(b"no", "500 Oops"))
        ) as entry:
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, answer.body), (500, b"no"))

    @params(("/other/1", 404), ("/lookup/1", 200))
    def test_route(self, target: str, status: int) -> None:
        with routed_harness(lookup_upstream(good_answer)) as entry:
            self.assertEqual(entry.ask(target).status, status)


class TestFailures(unittest.TestCase):
    """Tests of the caller's answer after a failure of the first upstream."""

    @params(
        ("no answer", lambda request: b"", 502),
        ("cut short", lambda request: request.answer(b"long body")[:-3], 502),
        ("no HTTP", lambda request: b"\x00\x01garbage\r\n\r\n", 502),
        ("other id", lambda request: request.answer().replace(b"id-1", b"id-2"), 502),
        ("no id", lambda request: request.answer().replace(ID.encode(), b"x-other"), 502),
    )
    def test_invalid_answer_is_not_a_success(
        self, _name: str, first: UpstreamScript, status: int
    ) -> None:
        one, two, seen = first_scripted_then_good(first)
        one.closes = two.closes = True
        with routed_harness(one, two, routes=NON_IDEMPOTENT_ROUTES) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x")
        self.assertEqual((answer.status, len(seen)), (status, 1))
        self.assertNotIn("retry-after", answer.headers)

    @params(
        ("no answer", lambda request: b""),
        ("cut short", lambda request: request.answer(b"long body")[:-3]),
        ("other id", lambda request: request.answer().replace(b"id-1", b"id-2")),
    )
    def test_idempotent_request_is_retried(self, _name: str, first: UpstreamScript) -> None:
        one, two, seen = first_scripted_then_good(first)
        one.closes = two.closes = True
        with routed_harness(one, two) as entry:
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, len(seen)), (200, 2))

    @params(Request.not_run, lambda request: request.answer(b"", "421 Misdirected"))
    def test_request_that_did_not_run_is_retried(self, first: UpstreamScript) -> None:
        one, two, seen = first_scripted_then_good(first)
        with routed_harness(one, two, routes=NON_IDEMPOTENT_ROUTES) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x")
        self.assertEqual((answer.status, len(seen)), (200, 2))

    def test_not_run_answer_has_retry_after(self) -> None:
        with routed_harness(
            lookup_upstream(Request.not_run), routes=NON_IDEMPOTENT_ROUTES
        ) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_refused_connections_do_not_count_as_attempts(self) -> None:
        gone = lookup_upstream(good_answer, "u1")
        gone.server.stop()
        with routed_harness(
            gone, lookup_upstream(good_answer, "u2"), routes=NON_IDEMPOTENT_ROUTES
        ) as entry:
            self.assertEqual(entry.ask("/lookup/1", "POST", b"x").status, 200)

    def test_deadline(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.5)
            return good_answer(request)

        with routed_harness(lookup_upstream(slow), routes=NON_IDEMPOTENT_ROUTES) as entry:
            answer = entry.ask("/lookup/1", "POST", b"x", **{HEADERS.deadline_ms: "100"})
        self.assertEqual(answer.status, 504)

    def test_no_upstreams_is_refused(self) -> None:
        with routed_harness(lookup_upstream(good_answer)) as entry:
            entry.list_upstreams()
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True))

    def test_draining_upstream_gets_no_requests(self) -> None:
        old, new = lookup_upstream(good_answer, "old"), lookup_upstream(good_answer, "new")
        with routed_harness(old, new) as entry:
            entry.list_upstreams(msgspec.structs.replace(old.listed(), draining=True), new.listed())
            for _ in range(4):
                self.assertEqual(entry.ask("/lookup/1").status, 200)
        self.assertEqual((len(old.requests), len(new.requests)), (0, 4))


class TestConnections(unittest.TestCase):
    def test_connection_is_reused(self) -> None:
        upstream = lookup_upstream(good_answer)
        with routed_harness(upstream) as entry:
            for _ in range(5):
                entry.ask("/lookup/1")
        self.assertEqual((upstream.connections, len(upstream.requests)), (1, 5))

    @params(
        ("a second answer", lambda request: 2 * request.answer()),
        ("garbage behind", lambda request: request.answer() + b"garbage"),
        ("close", lambda request: request.answer(Connection="close")),
        ("about to close", lambda request: request.answer(Keep_Alive="timeout=0")),
    )
    def test_unclean_connection_is_not_reused(self, _name: str, script: UpstreamScript) -> None:
        upstream = lookup_upstream(script)
        with routed_harness(upstream) as entry:
            for _ in range(3):
                self.assertEqual(entry.ask("/lookup/1").body, b"x")
        self.assertEqual(upstream.connections, 3)

    def test_late_second_answer_is_discarded(self) -> None:
        def late(request: Request) -> bytes:
            if request.number == 0:
                gevent.spawn_later(0.05, request.sock.sendall, request.answer(b"late"))
            return request.answer(b"good")

        upstream = lookup_upstream(late)
        with routed_harness(upstream) as entry:
            entry.ask("/lookup/1")
            gevent.sleep(0.1)
            answer = entry.ask("/lookup/1", **{ID: "id-2"})
        self.assertEqual((answer.body, upstream.connections), (b"good", 2))

    def test_answer_without_length_ends_with_connection(self) -> None:
        def unframed(request: Request) -> bytes:
            return request.answer(b"all of it").replace(b"Content-Length: 9\r\n", b"")

        with routed_harness(lookup_upstream(unframed, closes=True)) as entry:
            answer = entry.ask("/lookup/1")
        self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    def test_caller_disconnect_cancels_attempts(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.3)
            for _ in range(20):
                request.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
                gevent.sleep(0.01)
            return good_answer(request)

        upstream = lookup_upstream(slow)
        with routed_harness(upstream, routes=NON_IDEMPOTENT_ROUTES) as entry:
            sock = entry.connect()
            sock.sendall(request_bytes("/lookup/1", "POST", b"x"))
            gevent.sleep(0.1)
            sock.close()
            gevent.sleep(0.8)
        self.assertEqual(upstream.cancelled, 1)
