"""The service group model."""

import enum

import msgspec

DEFAULT_DEADLINE_MS = 1000
DEFAULT_TARGET_MS = 330


class GroupKind(enum.StrEnum):
    """How requests to a group are routed.

    `QUERY` fans out to every service of the pinned partition epoch. `REQUEST`
    goes to the one service that owns the key, at most once when it is not
    idempotent.
    """

    QUERY = "query"
    REQUEST = "request"


class Group(msgspec.Struct, frozen=True):
    """A service group such as a search over all shards.

    `epoch` is the partition epoch whose services are being introduced; queries
    may still be answered from an earlier epoch until every service of the new
    one can serve. `target_ms` is the latency the page of the day judges by.
    """

    name: str
    kind: GroupKind = GroupKind.QUERY
    epoch: int = 1
    deadline_ms: int = DEFAULT_DEADLINE_MS
    target_ms: int = DEFAULT_TARGET_MS
    min_coverage: float = 0.0
