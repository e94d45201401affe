"""Tests of scatter-gather requests over sockets."""

import unittest

import gevent
from nose2.tools import params

from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import Request, ScriptedUpstream, UpstreamScript, routed_harness
from tests.decisions.routing.common import AWAY

PARTS = HEADERS.part_signatures.lower()
MISSING = HEADERS.missing_parts.lower()


def records_script(*letters: str) -> UpstreamScript:
    """Return a script that answers with one record for each letter."""
    body = b"".join(letter.encode() * 16 for letter in letters)
    return lambda request: request.answer(body)


def shard_upstream(
    shard_index: int, script: UpstreamScript, replica_letter: str = "a"
) -> ScriptedUpstream:
    """Return an upstream of one shard."""
    return ScriptedUpstream(f"s{shard_index}{replica_letter}", f"s{shard_index}", script)


class TestGather(unittest.TestCase):
    def test_merges_top_records_of_all_parts(self) -> None:
        with routed_harness(
            shard_upstream(0, records_script("a", "d")), shard_upstream(1, records_script("c", "b"))
        ) as entry:
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
    def test_unusable_part_counts_as_missing(self, _name: str, script: UpstreamScript) -> None:
        with routed_harness(
            shard_upstream(0, records_script("a")), shard_upstream(1, script)
        ) as entry:
            answer = entry.ask("/search/1")
        self.assertEqual((answer.status, answer.body), (200, b"a" * 16))
        self.assertEqual(answer.headers[MISSING], "1")
        self.assertEqual(answer.headers[PARTS], "stamp-s0a")

    def test_hedge_replaces_straggler(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.3)
            return records_script("z")(request)

        one, straggler, other = (
            shard_upstream(0, records_script("a")),
            shard_upstream(1, slow),
            shard_upstream(1, records_script("b"), "b"),
        )
        with routed_harness(one, straggler, other) as entry:
            entry.list_upstreams(one.listed(), straggler.listed(), other.listed(AWAY))
            answers = [entry.ask("/search/1") for _ in range(4)]
        self.assertEqual({answer.headers[MISSING] for answer in answers}, {"0"})
        self.assertGreaterEqual(len(straggler.requests), 1)

    def test_partial_answer_at_aim(self) -> None:
        def slow(request: Request) -> bytes:
            gevent.sleep(0.4)
            return records_script("z")(request)

        with routed_harness(
            shard_upstream(0, records_script("a")), shard_upstream(1, slow)
        ) as entry:
            started = entry.spindle.clock.now()
            answer = entry.ask("/search/1")
            took_s = entry.spindle.clock.now() - started
        self.assertEqual(answer.headers[MISSING], "1")
        self.assertLess(took_s, 0.2)

    def test_too_few_parts_are_refused(self) -> None:
        broken = [shard_upstream(shard_index, lambda request: b"") for shard_index in (0, 1)]
        with routed_harness(*broken) as entry:
            answer = entry.ask("/search/1")
        self.assertEqual(answer.status, 502)
        self.assertNotIn("retry-after", answer.headers)

    def test_no_attempt_reports_not_run(self) -> None:
        with routed_harness(
            shard_upstream(0, records_script("a")), shard_upstream(1, records_script("b"))
        ) as entry:
            entry.list_upstreams()
            answer = entry.ask("/search/1")
        self.assertEqual((answer.status, "retry-after" in answer.headers), (503, True))
