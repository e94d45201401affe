"""Tests of the fingerprint by which a request is recognised when it comes again."""

import unittest
from typing import Any

import msgspec
from nose2.tools import params

from spindle_decisions.routing.request_fingerprint import request_fingerprint
from spindle_decisions.wire.caller_request import CallerRequest

REQUEST = CallerRequest("GET", "/search/1?a=b", "h.example", (), b"", False, "id-1")


class TestRequestFingerprint(unittest.TestCase):
    @params({"request_id": "id-2"}, {"headers": (("X-Trace", "7"),)})
    def test_is_equal_for_repetitions(self, changes: dict[str, Any]) -> None:
        again = msgspec.structs.replace(REQUEST, **changes)
        self.assertEqual(request_fingerprint(again), request_fingerprint(REQUEST))

    @params(
        {"method": "PUT"},
        {"target": "/search/1?a=c"},
        {"host": "i.example"},
        {"body": b"x"},
        {"host": "h.example/", "target": "search/1?a=b"},
        {"target": "/\udc80"},
    )
    def test_differs_for_other_requests(self, changes: dict[str, Any]) -> None:
        other = msgspec.structs.replace(REQUEST, **changes)
        self.assertNotEqual(request_fingerprint(other), request_fingerprint(REQUEST))
