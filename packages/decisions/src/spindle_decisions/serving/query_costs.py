"""Counts of the sub-requests of one query."""

import dataclasses


@dataclasses.dataclass
class QueryCosts:
    """Sub-requests by reason; `needed` is the minimum that the query requires."""

    needed: int = 0
    primaries: int = 0
    hedges: int = 0
    retries: int = 0
    restarts: int = 0
    cancelled: int = 0
