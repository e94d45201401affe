"""A linearizable read that is not confirmed yet."""

import dataclasses


@dataclasses.dataclass
class PendingRead:
    """Read `read_id` at `index`; confirmed when a quorum answers `heartbeat_round`."""

    read_id: int
    index: int
    heartbeat_round: int | None = None
