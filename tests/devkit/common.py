"""Fixtures for the tests of the development tools."""

import contextlib
import dataclasses
from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from spindle_decisions.wire.headers import HEADER_REQUEST_ID, HEADER_SNAPSHOT
from spindle_devkit.endpoint import Endpoint
from spindle_devkit.upstream import const
from spindle_devkit.upstream.served_upstream import ServedUpstream, create_served_upstream
from spindle_devkit.upstream.upstream_settings import UpstreamSettings

SERVICE = "comptoir-01"
TIMEOUT_S = 10.0

SETTINGS = UpstreamSettings(
    name="comptoir-01-a",
    service=SERVICE,
    listen=Endpoint("127.0.0.1", 0),
    slots=2,
    connections=25,
    queue=4,
    connect_ms=0.0,
    median_ms=0.0,
    sigma=0.0,
    straggler_ratio=0.0,
    straggler_factor=20.0,
    cold_start_s=0.0,
    cold_factor=5.0,
    snapshots=("1.1", "1.2"),
    rows=2,
    seed=1,
)


@contextlib.contextmanager
def serving(**changes: Any) -> Iterator[ServedUpstream]:
    """Run a stand-in upstream in this process."""
    served = create_served_upstream(dataclasses.replace(SETTINGS, **changes))
    try:
        yield served
    finally:
        served.refuse()
        served.upstream.reset_connections()


def client_of(served: ServedUpstream) -> HTTPClient:
    """Return a client of the upstream with one connection."""
    return HTTPClient(
        "127.0.0.1",
        served.port,
        concurrency=1,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )


def post_query(
    client: HTTPClient, request_id: str = "r1", service: str = SERVICE, **headers: str
) -> HTTPSocketResponse:
    """Send one query and return the response with its body unread."""
    sent = {HEADER_REQUEST_ID: request_id, HEADER_SNAPSHOT: "1.1"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    body = msgspec.json.encode({"service": service, "query": {"asked": request_id}})
    return client.post(const.PATH_QUERY, body=body, headers=sent)


def start_query(served: ServedUpstream) -> gevent.Greenlet:
    """Send one query in the background; a connection error is ignored."""

    def query_once() -> None:
        with contextlib.suppress(OSError, HTTPParseError):
            post_query(client_of(served))

    return gevent.spawn(query_once)


def post_run(client: HTTPClient, request_id: str = "r1") -> HTTPSocketResponse:
    """Send one non-idempotent request."""
    body = msgspec.json.encode({"service": SERVICE, "key": "set-12", "body": {}})
    return client.post(const.PATH_RUN, body=body, headers={HEADER_REQUEST_ID: request_id})


def states_of(served: ServedUpstream) -> list[str]:
    """Return the states of the executions in order of arrival."""
    return [str(item.state) for item in served.upstream.executions]


def wait_until(condition: Any) -> None:
    """Wait until a condition holds; raise `gevent.Timeout` after `TIMEOUT_S`."""
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.002)
