"""A fan-out with only geventhttpclient, as the baseline of cost."""

import random
import time

import gevent
import msgspec
from geventhttpclient import HTTPClient

from bench.experiments.serving import sizes
from bench.load.answer_check import MARK_KEY
from bench.load.arrivals import poisson_arrivals
from bench.plan import DeploymentPlan, UpstreamPlan
from bench.ports import LOOPBACK
from spindle_decisions.wire.headers import (
    HEADER_DEADLINE_MS,
    HEADER_REQUEST_ID,
    HEADER_SNAPSHOT,
)

_TIMEOUT_S = 5.0
_SNAPSHOT = "1.1"


class BareFanout:
    """Sends each query to one random upstream of every service and decodes the answers."""

    def __init__(self, plan: DeploymentPlan, seed: int) -> None:
        self.rng = random.Random(seed)
        self.services: dict[str, list[HTTPClient]] = {}
        self.sent = 0
        self.failed = 0
        for upstream in plan.upstreams:
            self.services.setdefault(upstream.service, []).append(_client(upstream))

    def run(self, rate_per_s: float, duration_s: float) -> int:
        """Send queries in an open loop and return their number."""
        started = time.monotonic()
        greenlets: list[gevent.Greenlet] = []
        for at_s in poisson_arrivals(self.rng, rate_per_s, duration_s):
            gevent.sleep(max(0.0, started + at_s - time.monotonic()))
            greenlets.append(gevent.spawn(self._query, f"bare-{len(greenlets)}"))
        gevent.joinall(greenlets, raise_error=True)
        return len(greenlets)

    def _query(self, mark: str) -> None:
        parts = [
            gevent.spawn(self._ask, service, self.rng.choice(clients), mark)
            for service, clients in self.services.items()
        ]
        gevent.joinall(parts, raise_error=True)

    def _ask(self, service: str, client: HTTPClient, mark: str) -> None:
        self.sent += 1
        body = msgspec.json.encode({"service": service, "query": {MARK_KEY: mark}})
        headers = {
            "Content-Type": "application/json",
            HEADER_REQUEST_ID: f"{mark}-{service}",
            HEADER_SNAPSHOT: _SNAPSHOT,
            HEADER_DEADLINE_MS: "1000",
        }
        response = client.post("/v1/query", body=body, headers=headers)
        msgspec.json.decode(bytes(response.read()))
        self.failed += response.status_code != 200


def _client(upstream: UpstreamPlan) -> HTTPClient:
    return HTTPClient(
        LOOPBACK,
        upstream.port,
        concurrency=sizes.CONNECTIONS,
        connection_timeout=_TIMEOUT_S,
        network_timeout=_TIMEOUT_S,
    )
