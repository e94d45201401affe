"""One service of the plan."""

import msgspec


class RoutedService(msgspec.Struct, frozen=True):
    """A service and what each of its upstreams bears.

    `max_connections` bounds the connections of all callers of one upstream together.
    """

    name: str
    max_connections: int
    health_path: str = "/health"
