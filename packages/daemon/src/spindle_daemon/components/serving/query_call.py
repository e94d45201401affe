"""A query as sent by a caller."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class QueryCall:
    """A query to all services of a group, or to the service `only` if it is set.

    `deadline_ms` and `min_coverage` are `None` if the defaults of the group apply.
    """

    group: str
    query: msgspec.Raw
    only: str = ""
    deadline_ms: float | None = None
    min_coverage: float | None = None
