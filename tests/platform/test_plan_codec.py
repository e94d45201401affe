"""Tests of decoding configurations into plans."""

import json
import unittest
from typing import Any

from nose2.tools import params

from spindle_decisions.exceptions import PlanError
from spindle_decisions.routing.plan_validation import validate_plan
from spindle_platform.plan_codec import JsonPlanCodec

LOOKUP_ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "one.example",
    "pathPrefix": "/a/",
    "kind": "idempotent",
    "timeoutMs": 2000,
    "targetLatencyMs": 400,
    "priority": 2,
    "service": "s0",
    "maxAttempts": 2,
}
GATHER_ROUTE: dict[str, Any] = {
    "name": "r-2",
    "host": "one.example",
    "pathPrefix": "/b/",
    "kind": "idempotent",
    "timeoutMs": 600,
    "targetLatencyMs": 118,
    "priority": 1,
    "gather": ["s0", "s1"],
    "maxAttempts": 2,
    "topK": 20,
    "minShare": 0.89,
}
SERVICE: dict[str, Any] = {"healthPath": "/health", "maxConns": 25, "protocol": "h1", "tls": False}
DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [LOOKUP_ROUTE, GATHER_ROUTE],
    "services": [{"name": name, **SERVICE} for name in ("s0", "s1")],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "idleTimeoutMs": 15000},
}


def encoded_document(**changes: Any) -> bytes:
    """Return the encoded document with some fields changed."""
    return json.dumps({**DOCUMENT, **changes}).encode()


class TestPlanCodec(unittest.TestCase):
    def test_decodes_all_fields(self) -> None:
        plan = JsonPlanCodec().decode(encoded_document())
        validate_plan(plan)
        lookup, gather = plan.routes
        self.assertEqual((plan.version, len(plan.services)), (7, 2))
        self.assertEqual([item.service for item in lookup.services], ["s0"])
        self.assertEqual((lookup.timeout_ms, lookup.aim_ms, lookup.max_attempts), (2000, 400, 2))
        self.assertEqual((gather.shards, gather.top_records), (("s0", "s1"), 20))
        self.assertEqual(gather.least_share, 0.89)
        self.assertEqual(plan.services[0].max_connections, 25)
        self.assertEqual(plan.limits.idle_timeout_ms, 15_000)

    @params(("idempotent", True), ("non_idempotent", False), ("something-new", False))
    def test_only_idempotent_kind_is_idempotent(self, kind: str, idempotent: bool) -> None:
        plan = JsonPlanCodec().decode(encoded_document(routes=[{**LOOKUP_ROUTE, "kind": kind}]))
        self.assertEqual(plan.routes[0].idempotent, idempotent)

    def test_traffic_split(self) -> None:
        parts = [{"service": "s0", "weight": 3}, {"service": "s1", "weight": 1}]
        route = {key: value for key, value in LOOKUP_ROUTE.items() if key != "service"}
        plan = JsonPlanCodec().decode(encoded_document(routes=[{**route, "trafficSplit": parts}]))
        self.assertEqual([item.weight for item in plan.routes[0].services], [3, 1])

    @params(
        ("truncated", encoded_document()[:-20]),
        ("empty", b""),
        ("array instead of object", b"[]"),
        ("no version", json.dumps({"routes": [], "services": []}).encode()),
        ("text as version", encoded_document(version="7")),
        ("invalid UTF-8", encoded_document().replace(b"one.example", b"\xff\xfe")),
        (
            "route without prefix",
            encoded_document(routes=[{"name": "r", "host": "h", "kind": "k"}]),
        ),
    )
    def test_malformed_document_is_rejected(self, _name: str, document: bytes) -> None:
        with self.assertRaises(PlanError):
            JsonPlanCodec().decode(document)

    @params(
        {"service": "nobody"},
        {"timeoutMs": 0},
        {"service": None, "trafficSplit": [{"service": "s0", "weight": 0}]},
        {"pathPrefix": "/b/"},
    )
    def test_invalid_plan_is_rejected(self, changes: dict[str, Any]) -> None:
        plan = JsonPlanCodec().decode(
            encoded_document(routes=[{**LOOKUP_ROUTE, **changes}, GATHER_ROUTE])
        )
        with self.assertRaises(PlanError):
            validate_plan(plan)
