"""Tests of the signing of operator requests."""

import unittest

from nose2.tools import params

from spindle_decisions.exceptions import AuthError
from spindle_decisions.wire.request_signature import sign_request, verify_request

KEY = b"key"
NOW_MS = 1_764_856_800_000
WINDOW_MS = 300_000


class TestRequestSignature(unittest.TestCase):
    def check(self, **changed: object) -> None:
        values: dict[str, object] = {
            "key": KEY,
            "method": "POST",
            "path": "/v1/notes?a=1",
            "signed_at": str(NOW_MS),
            "signature": sign_request(KEY, "POST", "/v1/notes?a=1", NOW_MS, b"body"),
            "body": b"body",
            "wall_ms": NOW_MS,
        }
        verify_request(**{**values, **changed})  # type: ignore[arg-type]

    @params(NOW_MS, NOW_MS + WINDOW_MS, NOW_MS - WINDOW_MS)
    def test_accepted_within_the_window(self, wall_ms: int) -> None:
        self.check(wall_ms=wall_ms)

    @params(
        {"key": b"other"},
        {"method": "GET"},
        {"path": "/v1/notes?a=2"},
        {"body": b"other"},
        {"signature": ""},
        {"signature": "ü"},
        {"signed_at": ""},
        {"signed_at": "²"},
        {"signed_at": str(NOW_MS + 1)},
        {"wall_ms": NOW_MS + WINDOW_MS + 1},
        {"wall_ms": NOW_MS - WINDOW_MS - 1},
    )
    def test_anything_else_is_refused(self, changed: dict[str, object]) -> None:
        with self.assertRaises(AuthError):
            self.check(**changed)
