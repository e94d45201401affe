"""The answer or refusal that ends a query."""

import msgspec

from spindle_daemon.components.serving.query_answer import QueryAnswer
from spindle_decisions.exceptions import (
    CoverageBelowMinimumError,
    DeadlineExceededError,
    OverloadedError,
    RefusalError,
)
from spindle_decisions.serving.query_end_reason import QueryEndReason
from spindle_decisions.serving.query_result import QueryResult

AGE_DECIMALS = 3


def create_answer(
    result: QueryResult, request_id: str, config_version: int, config_age_s: float
) -> QueryAnswer:
    """Create the answer with the rows of all covered services."""
    rows: list[msgspec.Raw] = []
    for part in result.rows:
        rows.extend(part)
    return QueryAnswer(
        request_id=request_id,
        snapshot=str(result.snapshot),
        services_total=len(result.covered) + len(result.missing),
        covered=list(result.covered),
        missing=list(result.missing),
        rows=rows,
        config_version=config_version,
        config_age_s=round(config_age_s, AGE_DECIMALS),
    )


def create_refusal(result: QueryResult, min_coverage: float) -> RefusalError:
    """Create the refusal of a query whose answer has less than the minimum coverage."""
    total = len(result.covered) + len(result.missing)
    covered = f"{len(result.covered)} of {total} services covered"
    if result.end is QueryEndReason.OVERLOADED:
        return OverloadedError("the queues of too many services are full")
    if result.end is QueryEndReason.DEADLINE:
        return DeadlineExceededError(f"{covered} at the deadline")
    return CoverageBelowMinimumError(f"{covered}, the minimum coverage is {min_coverage:g}")
