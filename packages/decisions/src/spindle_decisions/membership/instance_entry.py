"""What the membership keeps of one instance."""

import dataclasses

from spindle_decisions.wire.live_instance import LiveInstance


@dataclasses.dataclass(frozen=True)
class InstanceEntry:
    """The newest word of an instance and when it was heard, in monotonic seconds."""

    live: LiveInstance
    config_version: int
    config_digest: str
    heard_at: float
    direct: bool
