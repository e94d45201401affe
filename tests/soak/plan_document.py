"""Plan documents of the soak."""

import json

from tests.platform.test_plan_codec import DOCUMENT, GATHER_ROUTE, LOOKUP_ROUTE, SERVICE
from tests.soak import const

HOST = "one.example"
LOOKUP_SERVICE = "desk"
SHARDS = tuple(f"shard-{number}" for number in range(const.SHARDS))
SERVICES = (LOOKUP_SERVICE, *SHARDS)
LOOKUP_PREFIX = "/lookup/"
ORDER_PREFIX = "/order/"
SEARCH_PREFIX = "/search/"


def marker_prefix(version: int) -> str:
    """Return the path prefix of the route that exists only in this version."""
    return f"/only-{version}/"


def plan_document(version: int) -> bytes:
    """Return a plan: the routes that every version has, and the marker route of this one."""
    lookup = {**LOOKUP_ROUTE, "service": LOOKUP_SERVICE}
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
