"""Requests that crash each upstream that runs them."""

import logging
import unittest

from nose2.tools import params

from tests.daemon.routed.common import Request, ScriptedUpstream, UpstreamScript, routed_harness

LOGGER = "spindle_daemon.components.routed.request_log"


def crash(_request: Request) -> bytes:
    """Close the connection without an answer, as a process does that crashes."""
    return b""


class TestLogOfBrokenAttempts(unittest.TestCase):
    @params(
        ("closed", crash, 1),
        ("cut short", lambda request: request.answer(b"xyz")[:-1], None),
        ("failure", lambda request: request.answer(b"", "500 Oops"), None),
    )
    def test_line_tells_a_crash_from_a_failure(
        self, _name: str, script: UpstreamScript, broken: int | None
    ) -> None:
        upstream = ScriptedUpstream("u1", "desk", script)
        with routed_harness(upstream) as entry, self.assertLogs(LOGGER, logging.INFO) as caught:
            entry.ask("/lookup/1")
        line = vars(caught.records[0])
        self.assertEqual(line.get("broken"), broken)
        self.assertEqual(bool(line.get("fingerprint")), broken is not None)
