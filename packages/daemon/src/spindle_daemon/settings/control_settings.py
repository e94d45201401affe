"""Settings of a control instance."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Timing of agreement and of storage."""

    heartbeat_ms: int
    election_min_ms: int
    election_max_ms: int
    lease_ms: int
    snapshot_every: int
    group_commit: bool
