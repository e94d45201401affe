"""The request to the owner of some shards to gather their answers."""

import msgspec

from spindle_decisions.wire.caller_request import CallerRequest


class SpreadQuestion(msgspec.Struct, frozen=True, tag="spread-question"):
    """The request of a caller for the shards that `shards` names.

    `left_ms` is the time until the deadline of the caller, and `aim_left_ms` the time
    until the end of the aim, after which the answer loses worth.
    """

    seq: int
    reply_to: str
    shards: tuple[str, ...]
    top_records: int
    route: str
    max_attempts: int
    aim_left_ms: int
    left_ms: int
    request: CallerRequest
