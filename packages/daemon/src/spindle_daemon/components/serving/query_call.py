"""A query as a caller asks it."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class QueryCall:
    """A query to a group, or to its service `only` when given.

    `deadline_ms` and `min_coverage` are `None` where the caller left them to
    the group.
    """

    group: str
    query: msgspec.Raw
    only: str = ""
    deadline_ms: float | None = None
    min_coverage: float | None = None
