"""The account of one finished request."""

import msgspec

from spindle_decisions.account.query_outcome import QueryOutcome


class QueryRecord(msgspec.Struct, frozen=True):
    """What one request cost and gave.

    `code` is the code of the refusal or empty. `needed` is the least number of
    sub-requests the request needed; `hedges`, `retries` and `restarts` count
    sub-requests sent beyond it, by cause. `cancelled` counts those of all kinds
    that were cancelled before their answer; they are part of the other counts.
    `missing` names the services that the answer lacks.
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
