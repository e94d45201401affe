"""Errors that end a greenlet or a pool task have a log line, and end nothing else."""

import logging
import unittest
from collections.abc import Callable

import gevent
from gevent.threadpool import ThreadPool
from nose2.tools import params

from spindle_daemon.helpers import hub_errors

LOGGER = "spindle_daemon.helpers.hub_errors"


def reject_write() -> None:
    raise OSError(28, "No space left on device")


def run_in_greenlet() -> None:
    gevent.spawn(reject_write).join()


def run_in_pool() -> None:
    pool = ThreadPool(1)
    try:
        pool.apply(reject_write)
    except OSError:
        pass
    finally:
        pool.kill()


def run_in_timer() -> None:
    gevent.get_hub().loop.run_callback(reject_write)
    gevent.sleep(0.01)


class TestHubErrors(unittest.TestCase):
    def setUp(self) -> None:
        hub_errors.log_hub_errors()
        self.addCleanup(vars(gevent.get_hub()).pop, "print_exception")

    @params(run_in_greenlet, run_in_pool, run_in_timer)
    def test_error_has_one_line_and_the_loop_goes_on(self, run: Callable[[], None]) -> None:
        with self.assertLogs(LOGGER, logging.ERROR) as caught:
            run()
        self.assertEqual(len(caught.records), 1)
        line = vars(caught.records[0])
        self.assertEqual(line["event"], "task-failed")
        self.assertEqual(line["reason"], "OSError: [Errno 28] No space left on device")
        self.assertIn("reject_write", line["trace"])
        self.assertEqual(gevent.spawn(lambda: 7).get(timeout=1.0), 7)

    def test_line_is_bounded(self) -> None:
        def fail() -> None:
            raise ValueError("x" * 100_000)

        with self.assertLogs(LOGGER, logging.ERROR) as caught:
            gevent.spawn(fail).join()
        line = vars(caught.records[0])
        self.assertLessEqual(len(line["reason"]), hub_errors.MAX_REASON_CHARS)
        self.assertLessEqual(len(line["trace"]), hub_errors.MAX_TRACE_CHARS)
