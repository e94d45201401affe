"""A request to one upstream that is to go out."""

import dataclasses
import itertools

from spindle_decisions.routing.replica import Replica

_ATTEMPT_IDS = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class UpstreamAttempt:
    """Send the request to `replica` for the shard at `shard`; `token` names the send.

    `cause` is `first`, `hedge` or `retry`.
    """

    attempt_id: int
    shard_index: int
    replica: Replica
    cause: str


def next_attempt_id() -> int:
    """Return a token that no other send of this process has."""
    return next(_ATTEMPT_IDS)
