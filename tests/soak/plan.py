"""How long and how hard an episode is."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Plan:
    """Faults begin within `span_s`; each lasts `longest_s` at most; how many at fewest and most."""

    span_s: float
    longest_s: float
    fewest: int
    most: int


FULL = Plan(span_s=14.0, longest_s=6.0, fewest=4, most=9)
SHORT = Plan(span_s=5.0, longest_s=2.0, fewest=3, most=5)
