"""Settings of a control instance."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Consensus timing, snapshot interval in log entries and commit mode."""

    heartbeat_ms: int
    election_min_ms: int
    election_max_ms: int
    lease_ms: int
    snapshot_every: int
    group_commit: bool
