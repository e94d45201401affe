"""Membership record of one instance."""

import dataclasses

from spindle_decisions.wire.live_instance import LiveInstance

DIRECT = ""


@dataclasses.dataclass(frozen=True)
class InstanceRecord:
    """The newest state of an instance and when it was last seen, in monotonic seconds.

    `reported_by` names the control instance that received its heartbeat, and is
    `DIRECT` when this one did.
    """

    live: LiveInstance
    config_version: int
    config_digest: str
    last_seen_at: float
    reported_by: str = DIRECT
