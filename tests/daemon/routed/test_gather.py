"""Gathered requests over sockets."""

import unittest

import gevent
from nose2.tools import params

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import Request, Script, ScriptedUpstream, tier
from tests.decisions.routing.common import AWAY

PARTS = HEADERS.part_signatures.lower()
MISSING = HEADERS.missing_parts.lower()


def records(*letters: str) -> Script:
    """Return a script that answers with records of one letter each."""
    body = b"".join(letter.encode() * 16 for letter in letters)
    return lambda request: request.answer(body)


def shard(number: int, script: Script, letter: str = "a") -> ScriptedUpstream:
    """Return an upstream of one shard."""
    return ScriptedUpstream(f"s{number}{letter}", f"s{number}", script)


class TestGather(unittest.TestCase):
    def test_the_greatest_records_of_all_parts(self) -> None:
        with tier(shard(0, records("a", "d")), shard(1, records("c", "b"))) as entry:
            answer = entry.ask("/search/1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b"d" * 16 + b"c" * 16 + b"b" * 16)
        stamps = {item.strip() for item in answer.headers[PARTS].split(",")}
        self.assertEqual(stamps, {"stamp-s0a", "stamp-s1a"})
        self.assertEqual(answer.headers[MISSING], "0")

    @params(
        ("failure", lambda request: request.answer(b"z" * 16, "500 Oops")),
        ("not run", Request.not_run),
        ("other id", lambda request: request.answer(b"z" * 16).replace(b"id-1", b"id-2")),
        ("cut short", lambda request: request.answer(b"z" * 16)[:-1]),
    )
    def test_what_is_no_part_is_missing(self, _name: str, script: Script) -> None:
        with tier(shard(0, records("a")), shard(1, script)) as entry:
            answer = entry.ask("/search/1")
        self.assertEqual((answer.status, answer.body), (200, b"a" * 16))
        self.assertEqual(answer.headers[MISSING], "1")
        self.assertEqual(answer.headers[PARTS], "stamp-s0a")

    def test_a_straggler_is_overtaken(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.3)
            return records("z")(request)

        one, straggler, other = shard(0, records("a")), shard(1, slow), shard(1, records("b"), "b")
        with tier(one, straggler, other) as entry:
            entry.list_upstreams(one.listed(), straggler.listed(), other.listed(AWAY))
            answers = [entry.ask("/search/1") for _ in range(4)]
        self.assertEqual({answer.headers[MISSING] for answer in answers}, {"0"})
        self.assertGreaterEqual(len(straggler.requests), 1)

    def test_the_answer_comes_at_the_aim(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.4)
            return records("z")(request)

        with tier(shard(0, records("a")), shard(1, slow)) as entry:
            started = entry.spindle.clock.now()
            answer = entry.ask("/search/1")
            took_s = entry.spindle.clock.now() - started
        self.assertEqual(answer.headers[MISSING], "1")
        self.assertLess(took_s, 0.2)

    def test_too_few_parts_are_no_answer(self) -> None:
        broken = [shard(number, lambda request: b"") for number in (0, 1)]
        with tier(*broken) as entry:
            answer = entry.ask("/search/1")
        self.assertEqual(answer.status, 502)
        self.assertNotIn("retry-after", answer.headers)

    def test_without_any_send_it_is_not_run(self) -> None:
        with tier(shard(0, records("a")), shard(1, records("b"))) as entry:
            entry.list_upstreams()
            answer = entry.ask("/search/1")
        self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True))
