"""Outcome and cost of one finished request."""

import msgspec

from spindle_decisions.account.query_outcome import QueryOutcome


class QueryRecord(msgspec.Struct, frozen=True):
    """Outcome, latency, coverage and sub-requests of one finished request.

    `code` is the refusal code, or empty. `needed` is the minimum number of
    sub-requests that the request required; `hedges`, `retries` and `restarts`
    count sub-requests sent in addition, by cause. `cancelled` counts sub-requests
    of all kinds that were cancelled before their answer; the other counts include
    them. `missing` names the services that the answer lacks.
    """

    group: str
    request_id: str
    outcome: QueryOutcome
    code: str
    latency_us: int
    target_ms: int
    services_total: int
    services_covered: int
    missing: tuple[str, ...] = ()
    needed: int = 0
    hedges: int = 0
    retries: int = 0
    restarts: int = 0
    cancelled: int = 0
