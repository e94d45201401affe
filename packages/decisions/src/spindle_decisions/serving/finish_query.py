"""The action that ends a query."""

import dataclasses

from spindle_decisions.serving.query_result import QueryResult


@dataclasses.dataclass(frozen=True, slots=True)
class FinishQuery:
    """Answer the caller; nothing is sent for this query afterwards."""

    result: QueryResult
