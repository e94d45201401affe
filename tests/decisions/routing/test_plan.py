"""Tests of plan validation and route lookup."""

import unittest

import msgspec
from nose2.tools import params

from spindle_decisions.exceptions import PlanError
from spindle_decisions.routing.plan import RoutingPlan
from spindle_decisions.routing.plan_validation import validate_plan
from spindle_decisions.routing.route_table import RouteTable
from spindle_decisions.routing.weighted_service import WeightedService
from tests.decisions.routing.common import HOST, gather_route, service, single_route

SERVICES = tuple(service(name) for name in ("desk", "s0", "s1", "s2", "s3"))


def plan_with(**fields: object) -> RoutingPlan:
    """Return a valid plan with some fields of its first route replaced."""
    route = msgspec.structs.replace(single_route(), **fields)
    return RoutingPlan(3, (route, gather_route()), SERVICES)


class TestPlanValidation(unittest.TestCase):
    def test_valid_plan_is_accepted(self) -> None:
        validate_plan(plan_with())

    @params(
        ("version 0", RoutingPlan(0, (single_route(),), SERVICES)),
        ("unknown service", plan_with(services=(WeightedService("nobody"),))),
        ("unknown shard", plan_with(services=(), shards=("s0", "nobody"))),
        ("no target", plan_with(services=())),
        ("two kinds of target", plan_with(shards=("s0",))),
        ("shard twice", plan_with(services=(), shards=("s0", "s0"))),
        ("no weight", plan_with(services=(WeightedService("desk", 0), WeightedService("s0", 0)))),
        ("weight below 0", plan_with(services=(WeightedService("desk", -1),))),
        ("no time-out", plan_with(timeout_ms=0)),
        ("prefix without slash", plan_with(prefix="/lookup")),
        ("same host and prefix", RoutingPlan(3, (single_route(), single_route()), SERVICES)),
        (
            "same host in other case",
            RoutingPlan(
                3,
                (single_route(), msgspec.structs.replace(single_route(), host=HOST.upper())),
                SERVICES,
            ),
        ),
        ("service twice", RoutingPlan(3, (single_route(),), (*SERVICES, service("desk")))),
    )
    def test_invalid_plan_is_refused(self, _name: str, plan: RoutingPlan) -> None:
        with self.assertRaises(PlanError):
            validate_plan(plan)


class TestRouteTable(unittest.TestCase):
    @params(
        ("/a/x", "a"),
        ("/a/", "a"),
        ("/a/b/c?q=/a/b/c/d/", "ab"),
        ("/a/bc", "a"),
        ("/a", None),
        ("/c/", None),
        ("/A/x", None),
        ("/a/%62/c", "a"),
    )
    def test_longest_prefix(self, target: str, name: str | None) -> None:
        routes = [("a", "/a/"), ("ab", "/a/b/"), ("other", "/z/")]
        table = RouteTable(
            RoutingPlan(
                1,
                tuple(
                    msgspec.structs.replace(single_route(), name=name, prefix=prefix)
                    for name, prefix in routes
                ),
            )
        )
        found = table.find(HOST, target)
        self.assertEqual(found.name if found else None, name)

    @params((HOST, True), (HOST.upper(), True), (f"{HOST}:8080", True), ("other.example", False))
    def test_host(self, host: str, found: bool) -> None:
        table = RouteTable(RoutingPlan(1, (single_route(),)))
        self.assertEqual(table.find(host, "/lookup/1") is not None, found)
