"""The result of one query."""

import dataclasses
from typing import Any

from spindle_decisions.serving.query_costs import QueryCosts
from spindle_decisions.serving.query_end_reason import QueryEndReason
from spindle_decisions.serving.snapshot_id import SnapshotId


@dataclasses.dataclass(frozen=True)
class QueryResult:
    """The rows of the services that answered, all from `snapshot`, and the missing services.

    `covered` and `missing` together are the services of the pinned partition
    epoch. `rows` holds one payload per covered service, in the same order.
    """

    end: QueryEndReason
    snapshot: SnapshotId | None
    covered: tuple[str, ...]
    missing: tuple[str, ...]
    rows: tuple[Any, ...]
    costs: QueryCosts

    @property
    def coverage(self) -> float:
        """The fraction of the services that are covered; 0 if there are no services."""
        total = len(self.covered) + len(self.missing)
        return len(self.covered) / total if total else 0.0
