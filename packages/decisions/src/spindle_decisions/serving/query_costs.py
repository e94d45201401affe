"""The sub-requests of one query."""

import dataclasses


@dataclasses.dataclass
class QueryCosts:
    """Sub-requests by cause; `needed` is the least number the query needs."""

    needed: int = 0
    primaries: int = 0
    hedges: int = 0
    retries: int = 0
    restarts: int = 0
    cancelled: int = 0
