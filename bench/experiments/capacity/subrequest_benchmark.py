"""The cost of sub-requests sent individually over HTTP."""

import pathlib
import time

import gevent
from geventhttpclient import HTTPClient

from bench.deployment import Deployment
from bench.experiments.capacity.slope import US_PER_S, fit
from bench.experiments.figures import Figures
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from bench.ports import LOOPBACK
from spindle_decisions.wire.headers import HEADER_REQUEST_ID, HEADER_SNAPSHOT

FANOUTS = (20, 50, 200, 500, 1300)
BODY = b'{"service":"comptoir-01","query":{"text":"stencil"}}'
WORKERS = 20
ROUNDS = 3


def subrequest_http(folder: pathlib.Path) -> Figures:
    """Return the CPU time of fanning a query out with a bare HTTP client, on the client side."""
    group = GroupPlan("comptoir", 1, 1, slots=WORKERS, connections=100)
    plan = build_plan((group,), controls=0, entries=0, upstream_settings=(("median-ms", "0.1"),))
    deployment = Deployment(plan, folder)
    deployment.start_standins()
    try:
        client = HTTPClient(LOOPBACK, plan.upstreams[0].port, concurrency=WORKERS)
        deployment.wait_until(lambda: _ask(client) or None, "the stand-in")
        costs = [_fan_out(client, count) for count in FANOUTS]
    finally:
        deployment.kill_all()
    return fit("us per query, by sub-requests", FANOUTS, costs)


def _ask(client: HTTPClient) -> bool:
    headers = {HEADER_REQUEST_ID: "r", HEADER_SNAPSHOT: "1.1"}
    response = client.request("POST", "/v1/query", body=BODY, headers=headers)
    response.read()
    return bool(response.status_code == 200)


def _fan_out(client: HTTPClient, count: int) -> float:
    costs = []
    for _ in range(ROUNDS):
        started = time.process_time()
        gevent.joinall([gevent.spawn(_ask, client) for _ in range(count)])
        costs.append((time.process_time() - started) * US_PER_S)
    return min(costs)
