"""One part of a route that is split over services."""

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of the requests; weights of a route add up to more than 0."""

    service: str
    weight: float = 1.0
