"""Upstreams in trouble that send bytes without end, until the entry instance closes."""

import os
import time
import unittest
from collections.abc import Callable, Iterator

import gevent
from bench.process_meter import process_use
from nose2.tools import params

from spindle_daemon.components.routed import const
from spindle_daemon.components.routed.receive_budget import ReceiveBudget
from spindle_daemon.components.routed.reply_parser import ReplyParser
from spindle_daemon.components.routed.reply_too_long_error import ReplyTooLongError
from spindle_platform.platform_adapter import HEADERS
from tests.daemon.routed.common import Request, RoutedHarness, ScriptedUpstream, routed_harness
from tests.daemon.routed.test_gather import records_script, shard_upstream
from tests.decisions.routing.common import gather_route, single_route

BLOCK = 16 * 1024
MB = 1024 * 1024
MAX_GROWTH_BYTES = 24 * MB
# What an entry instance may use beyond its start: 200 MB less some 50 MB.
MAX_TOTAL_GROWTH_BYTES = 140 * MB
MAX_SEND_S = 8.0
OK = b"HTTP/1.1 200 OK\r\n"


def endless_body() -> Iterator[bytes]:
    yield OK + b"Content-Length: 999999999999\r\n\r\n"
    while True:
        yield b"x" * BLOCK


def endless_chunks() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n"
    while True:
        yield b"4000\r\n" + b"x" * BLOCK + b"\r\n"


def endless_small_chunks() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n"
    while True:
        yield b"1\r\nx\r\n" * 2_000


def endless_chunk_extension() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n1;"
    while True:
        yield b"e" * BLOCK


def endless_body_without_length() -> Iterator[bytes]:
    yield OK + b"Connection: close\r\n\r\n"
    while True:
        yield b"x" * BLOCK


def endless_headers() -> Iterator[bytes]:
    yield OK
    while True:
        yield b"".join(b"X-%d: y\r\n" % number for number in range(500))


def endless_header_value() -> Iterator[bytes]:
    yield OK + b"X-Long: "
    while True:
        yield b"y" * BLOCK


def endless_header_name() -> Iterator[bytes]:
    yield OK
    while True:
        yield b"n" * BLOCK


def endless_reason() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 "
    while True:
        yield b"O" * BLOCK


def endless_trailers() -> Iterator[bytes]:
    yield OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    while True:
        yield b"".join(b"X-%d: y\r\n" % number for number in range(500))


def endless_interim_answers() -> Iterator[bytes]:
    while True:
        yield b"HTTP/1.1 100 Continue\r\n\r\n" * 100


def endless_noise() -> Iterator[bytes]:
    while True:
        yield b"\x00\xff\r\n" * 4_000


ENDLESS = (
    endless_body,
    endless_chunks,
    endless_small_chunks,
    endless_chunk_extension,
    endless_body_without_length,
    endless_headers,
    endless_header_value,
    endless_header_name,
    endless_reason,
    endless_trailers,
    endless_interim_answers,
    endless_noise,
)
Blocks = Callable[[], Iterator[bytes]]


class EndlessUpstream(ScriptedUpstream):
    """Sends blocks until the connection is closed, or for `MAX_SEND_S`; counts the bytes."""

    def __init__(self, name: str, service: str, blocks: Blocks) -> None:
        super().__init__(name, service, self.send)
        self.blocks = blocks
        self.sent_bytes = 0

    def send(self, request: Request) -> bytes:
        """Send without end."""
        until = time.monotonic() + MAX_SEND_S
        try:
            for block in self.blocks():
                request.sock.sendall(block)
                self.sent_bytes += len(block)
                if time.monotonic() > until:
                    break
        except OSError:
            self.cancelled += 1
        return b""


class MemoryMeter:
    """Measures the growth of this process's resident memory."""

    def __init__(self) -> None:
        self.start_bytes = self.peak_bytes = process_use(os.getpid()).resident_bytes
        self.greenlet = gevent.spawn(self._sample)

    def stop(self) -> int:
        """Stop measuring; return the growth in bytes."""
        self.greenlet.kill()
        return self.peak_bytes - self.start_bytes

    def _sample(self) -> None:
        while True:
            resident = process_use(os.getpid()).resident_bytes
            self.peak_bytes = max(self.peak_bytes, resident)
            gevent.sleep(0.002)


class TestOneEndlessAnswer(unittest.TestCase):
    @params(*ENDLESS)
    def test_is_cut_off_and_its_upstream_ejected(self, blocks: Blocks) -> None:
        upstream = EndlessUpstream("u1", "desk", blocks)
        with routed_harness(upstream, routes=(single_route(max_attempts=1),)) as entry:
            meter = MemoryMeter()
            answer = entry.ask("/lookup/1")
            growth = meter.stop()
            gevent.sleep(0.05)
            self.assertGreaterEqual(answer.status, 500)
            self.assertNotEqual(answer.status, 503, "the request has run")
            self.assertLess(growth, MAX_GROWTH_BYTES)
            self.assertEqual(upstream.cancelled, 1, "the connection is closed")
            self.assertLess(upstream.sent_bytes, const.MAX_ANSWER_BYTES + 4 * MB)
            self.assertEqual(entry.coordinator.upstream_client.budget.held_bytes, 0)
            replica = entry.coordinator.routing_state.replicas.replicas["u1"]
            if blocks is not endless_noise:
                self.assertTrue(replica.is_ejected(entry.spindle.clock.now()))

    def test_line_says_why_with_count_and_limit(self) -> None:
        upstream = EndlessUpstream("u1", "desk", endless_headers)
        with (
            routed_harness(upstream, routes=(single_route(max_attempts=1),)) as entry,
            self.assertLogs("spindle_daemon.components.routed.ejection_log") as caught,
        ):
            entry.ask("/lookup/1")
        reason = vars(caught.records[0])["reason"]
        self.assertRegex(reason, r"answer is too long: headers 513, at most 512 are read")

    def test_dribble_ends_with_the_time_of_the_attempt(self) -> None:
        def dribble() -> Iterator[bytes]:
            yield OK + b"Content-Length: 1000\r\n\r\n"
            while True:
                gevent.sleep(0.05)
                yield b"x"

        upstream = EndlessUpstream("u1", "desk", dribble)
        with routed_harness(upstream, routes=(single_route(max_attempts=1),)) as entry:
            started = time.monotonic()
            answer = entry.ask("/lookup/1", **{HEADERS.deadline_ms: "300"})
            took_s = time.monotonic() - started
        self.assertEqual(answer.status, 504)
        self.assertLess(took_s, 0.5)


class TestManyEndlessAnswers(unittest.TestCase):
    def start(self, shards: int, blocks: Blocks, good: int) -> RoutedHarness:
        upstreams = [
            EndlessUpstream(f"e{number}", f"s{number}", blocks) for number in range(shards - good)
        ]
        upstreams += [
            shard_upstream(number, records_script("r")) for number in range(shards - good, shards)
        ]
        self.upstreams = upstreams
        harness = RoutedHarness(
            (gather_route(shards, good / shards, max_attempts=1),), tuple(upstreams)
        )
        self.addCleanup(harness.stop)
        return harness

    @params(endless_body, endless_chunks, endless_headers, endless_chunk_extension)
    def test_instance_stays_within_its_memory(self, blocks: Blocks) -> None:
        entry = self.start(20, blocks, good=2)
        # The stand-ins run on the same event loop and take seconds of processor time.
        entry.caller_timeout_s = 30.0
        meter = MemoryMeter()
        answers = [gevent.spawn(entry.ask, f"/search/{number}") for number in range(5)]
        gevent.joinall(answers)
        self.assertLess(meter.stop(), MAX_TOTAL_GROWTH_BYTES)
        for greenlet in answers:
            self.assertIn(greenlet.value.status, (200, 502, 503, 504))
        gevent.sleep(0.5)
        self.assertEqual(entry.coordinator.upstream_client.budget.held_bytes, 0)

    def test_good_answers_come_beside_endless_ones(self) -> None:
        entry = self.start(6, endless_body, good=5)
        statuses = [entry.ask(f"/search/{number}").status for number in range(5)]
        self.assertEqual(statuses, [200] * 5)


class TestReplyParser(unittest.TestCase):
    @params(
        ("heads", b"X: " + b"y" * (const.MAX_ANSWER_HEAD_BYTES - 100) + b"\r\n", True),
        ("heads", b"X: " + b"y" * const.MAX_ANSWER_HEAD_BYTES + b"\r\n", False),
        ("headers", b"X: y\r\n" * (const.MAX_ANSWER_HEADERS - 1), True),
        ("headers", b"X: y\r\n" * (const.MAX_ANSWER_HEADERS + 1), False),
    )
    def test_limits_of_the_head(self, _what: str, headers: bytes, is_allowed: bool) -> None:
        parser = ReplyParser("GET")
        data = OK + b"Content-Length: 1\r\n" + headers + b"\r\nx"
        if is_allowed:
            parser.feed_data(data)
            self.assertTrue(parser.is_complete())
            return
        with self.assertRaises(ReplyTooLongError):
            parser.feed_data(data)

    @params((const.MAX_INTERIM_ANSWERS, True), (const.MAX_INTERIM_ANSWERS + 1, False))
    def test_limit_of_interim_answers(self, count: int, is_allowed: bool) -> None:
        parser = ReplyParser("GET")
        data = b"HTTP/1.1 100 Continue\r\n\r\n" * count + OK + b"Content-Length: 0\r\n\r\n"
        if is_allowed:
            parser.feed_data(data)
            self.assertTrue(parser.is_complete())
            return
        with self.assertRaises(ReplyTooLongError):
            parser.feed_data(data)


class TestReceiveBudget(unittest.TestCase):
    def test_refuses_what_exceeds_the_limit_and_counts_what_is_released(self) -> None:
        budget = ReceiveBudget(100)
        budget.acquire(60)
        with self.assertRaises(ReplyTooLongError):
            budget.acquire(41)
        budget.acquire(40)
        budget.release(100)
        self.assertEqual(budget.held_bytes, 0)
