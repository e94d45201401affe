"""One service of a route with several services."""

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """A service of a route and its weight; the weights of a route add up to more than 0."""

    service: str
    weight: float = 1.0
