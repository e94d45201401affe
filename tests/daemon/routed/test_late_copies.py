"""A second copy of an answer arrives late, on a connection that is in use again."""

import unittest

import gevent
from nose2.tools import params

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import ID, Request, ScriptedUpstream, routed_harness
from tests.decisions.routing.common import AWAY, single_route

ANSWER_DELAY_S = 0.1
OLD_ID = "id-0"


def copy_of(request: Request, status: str, is_identified: bool, **headers: str) -> bytes:
    """Return a copy of the answer to an earlier request."""
    data = request.answer(b"old", status, **headers)
    own = f"{ID}: {request.headers[ID]}\r\n".encode()
    return data.replace(own, f"{ID}: {OLD_ID}\r\n".encode() if is_identified else b"")


COPIES = (
    ("200 OK", {}),
    ("500 Oops", {}),
    ("503 Service Unavailable", {HEADERS.not_run: "1"}),
    ("429 Too Many Requests", {HEADERS.not_run: "1"}),
    ("421 Misdirected Request", {}),
    ("400 Bad Request", {HEADERS.not_run: "1"}),
)
CASES = tuple((status, headers, known) for status, headers in COPIES for known in (True, False))


class TestLateCopies(unittest.TestCase):
    @params(*CASES)
    def test_is_no_answer_and_no_proof_of_not_run(
        self, status: str, headers: dict[str, str], is_identified: bool
    ) -> None:
        """The first answer on the connection is a copy; the request runs all the same."""

        def script(request: Request) -> bytes:
            if request.number == 0:
                return request.answer(b"first")
            if request.number == 1:
                request.sock.sendall(copy_of(request, status, is_identified, **headers))
                gevent.sleep(ANSWER_DELAY_S)
            return request.answer(f"own {request.number}".encode())

        upstream = ScriptedUpstream("u1", "desk", script)
        other = ScriptedUpstream("u2", "desk", lambda request: request.answer(b"second run"))
        with routed_harness(upstream, other, routes=(single_route(idempotent=False),)) as entry:
            entry.list_upstreams(upstream.listed(), other.listed(AWAY))
            self.assertEqual(entry.ask("/lookup/1").body, b"first")
            connections = upstream.connections
            answer = entry.ask("/lookup/2")
            self.assertEqual(answer.status, 502, "the request may have run")
            self.assertEqual(other.requests, [], "it is not sent again")
            gevent.sleep(2 * ANSWER_DELAY_S)
            entry.list_upstreams(upstream.listed())
            third = entry.ask("/lookup/3")
            self.assertEqual((third.status, third.body), (200, b"own 2"))
            self.assertEqual(upstream.connections, connections + 1, "on a new connection")

    def test_own_answer_without_an_id_of_the_caller_is_passed_on(self) -> None:
        upstream = ScriptedUpstream("u1", "desk", lambda request: request.answer(b"own"))
        with routed_harness(upstream) as entry:
            answer = entry.ask("/lookup/1", **{ID: ""})
        self.assertEqual((answer.status, answer.body), (200, b"own"))
