"""The service group model."""

import enum

import msgspec

DEFAULT_DEADLINE_MS = 1000
DEFAULT_TARGET_MS = 330


class GroupKind(enum.StrEnum):
    """How requests to a group are routed.

    `QUERY` fans out to every service of the pinned partition epoch. `REQUEST`
    goes to the one service for its key, and runs at most once if it is not
    idempotent.
    """

    QUERY = "query"
    REQUEST = "request"


class Group(msgspec.Struct, frozen=True):
    """A service group, such as a search over all shards.

    `epoch` is the newest partition epoch; queries may be answered from an earlier
    one until every service of the newest can serve. `target_ms` is the target
    latency by which the day's page assesses the group. `min_coverage` is the
    fraction of the services that an answer must cover, unless the caller sets one.
    """

    name: str
    kind: GroupKind = GroupKind.QUERY
    epoch: int = 1
    deadline_ms: int = DEFAULT_DEADLINE_MS
    target_ms: int = DEFAULT_TARGET_MS
    min_coverage: float = 0.0
