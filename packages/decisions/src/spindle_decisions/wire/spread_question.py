"""A question to the owner of some shards."""

import msgspec

from spindle_decisions.wire.caller_request import CallerRequest


class SpreadQuestion(msgspec.Struct, frozen=True, tag="spread-question"):
    """A request of a caller, as it was sent, for the shards that are named.

    `left_ms` is how long the caller waits, `aim_left_ms` until when the answer is
    wanted.
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
