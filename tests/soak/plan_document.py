"""The configurations of the soak."""

import json

from tests.platform.test_plan_codec import DOCUMENT, GATHER_ROUTE, LOOKUP_ROUTE, SERVICE
from tests.soak import const

HOST = "one.example"
DESK = "desk"
SHARDS = tuple(f"shard-{number}" for number in range(const.SHARDS))
SERVICES = (DESK, *SHARDS)
LOOKUP_PREFIX = "/lookup/"
ORDER_PREFIX = "/order/"
SEARCH_PREFIX = "/search/"


def marker_prefix(version: int) -> str:
    """Return the prefix of the route that only one version has."""
    return f"/only-{version}/"


def plan_document(version: int) -> bytes:
    """Return a configuration: the standing routes and the marker of its version."""
    lookup = {**LOOKUP_ROUTE, "service": DESK}
    routes = [
        {**lookup, "name": "lookup", "pathPrefix": LOOKUP_PREFIX},
        {**lookup, "name": "order", "pathPrefix": ORDER_PREFIX, "kind": "non_idempotent"},
        {**lookup, "name": "marker", "pathPrefix": marker_prefix(version)},
        {
            **GATHER_ROUTE,
            "name": "search",
            "pathPrefix": SEARCH_PREFIX,
            "gather": list(SHARDS),
            "topK": const.TOP,
            "minShare": 0.5,
        },
    ]
    services = [{"name": name, **SERVICE} for name in SERVICES]
    return json.dumps(
        {**DOCUMENT, "version": version, "routes": routes, "services": services}
    ).encode()
