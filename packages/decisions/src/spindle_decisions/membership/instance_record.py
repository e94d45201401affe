"""What the membership keeps of one instance."""

import dataclasses

from spindle_decisions.wire.live_instance import LiveInstance

DIRECT = ""


@dataclasses.dataclass(frozen=True)
class InstanceRecord:
    """The newest word of an instance and when it was heard, in monotonic seconds.

    `via` names the control instance that heard it, empty when it was heard here.
    """

    live: LiveInstance
    config_version: int
    config_digest: str
    last_seen_at: float
    reported_by: str = DIRECT
