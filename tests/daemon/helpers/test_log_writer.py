"""Log lines never hold up the loop."""

import logging
import os
import unittest

import gevent

from spindle_daemon.helpers.log_writer import MAX_WAITING_LINES, LogWriter

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

    def test_lines_arrive_whole_and_in_order(self) -> None:
        for number in range(50):
            self.logger.info("line %s", number)
        self.writer.flush()
        expected = [f"line {number}" for number in range(50)]
        self.assertEqual(self.read().decode().splitlines(), expected)

    def test_a_reader_that_stands_still_costs_lines_and_no_time(self) -> None:
        with gevent.Timeout(5.0):
            for _ in range(3 * MAX_WAITING_LINES):
                self.logger.info(LINE)
                if not len(self.writer.lines) % 100:
                    self.writer.flush()
        self.assertGreater(self.writer.left_out, 0)
        self.assertLessEqual(len(self.writer.lines), MAX_WAITING_LINES)

    def test_no_line_is_torn_when_the_reader_comes_back(self) -> None:
        for _ in range(MAX_WAITING_LINES):
            self.logger.info(LINE)
        received = b""
        while self.writer.lines:
            self.writer.flush()
            received += self.read()
        self.assertEqual(set(received.decode().splitlines()), {LINE})

    def test_what_was_left_out_is_said(self) -> None:
        self.writer.left_out = 7
        self.writer.start()
        root = logging.getLogger()
        root.addHandler(self.writer)
        self.addCleanup(root.removeHandler, self.writer)
        self.logger.info("wake")
        gevent.sleep(0.05)
        self.assertIn("log: lines left out", self.read().decode())
        self.assertEqual(self.writer.left_out, 0)
