"""One service of a route with several services."""

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its weight among the services of a route; their sum is above 0."""

    service: str
    weight: float = 1.0
