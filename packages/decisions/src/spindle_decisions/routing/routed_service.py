"""One service of the plan."""

import msgspec


class RoutedService(msgspec.Struct, frozen=True):
    """A service and the limits of its upstreams.

    `max_connections` limits the connections to one upstream, of all instances together.
    """

    name: str
    max_connections: int
    health_path: str = "/health"
