"""Tests that a slow log reader does not block the event loop."""

import logging
import os
import unittest

import gevent

from spindle_daemon.helpers.log_writer import MAX_QUEUED_LINES, LogWriter

LINE = "x" * 200


class TestLogWriter(unittest.TestCase):
    def setUp(self) -> None:
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.writer = LogWriter(self.write_end)
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.writer)

    def read(self) -> bytes:
        os.set_blocking(self.read_end, False)
        data = b""
        while True:
            try:
                data += os.read(self.read_end, 1 << 20)
            except BlockingIOError:
                return data

    def test_lines_arrive_complete_and_in_order(self) -> None:
        for number in range(50):
            self.logger.info("line %s", number)
        self.writer.flush()
        expected = [f"line {number}" for number in range(50)]
        self.assertEqual(self.read().decode().splitlines(), expected)

    def test_a_stalled_reader_loses_lines_without_blocking(self) -> None:
        with gevent.Timeout(5.0):
            for _ in range(3 * MAX_QUEUED_LINES):
                self.logger.info(LINE)
                if not len(self.writer.lines) % 100:
                    self.writer.flush()
        self.assertGreater(self.writer.dropped_count, 0)
        self.assertLessEqual(len(self.writer.lines), MAX_QUEUED_LINES)

    def test_lines_stay_whole_when_the_reader_resumes(self) -> None:
        for _ in range(MAX_QUEUED_LINES):
            self.logger.info(LINE)
        received = b""
        while self.writer.lines:
            self.writer.flush()
            received += self.read()
        self.assertEqual(set(received.decode().splitlines()), {LINE})

    def test_the_count_of_dropped_lines_is_logged(self) -> None:
        self.writer.dropped_count = 7
        self.writer.start()
        root = logging.getLogger()
        root.addHandler(self.writer)
        self.addCleanup(root.removeHandler, self.writer)
        self.logger.info("wake")
        gevent.sleep(0.05)
        self.assertIn("log: lines dropped", self.read().decode())
        self.assertEqual(self.writer.dropped_count, 0)
