"""The action that sends a sub-request."""

import dataclasses

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.snapshot_id import SnapshotId


@dataclasses.dataclass(frozen=True, slots=True)
class SendSubRequest:
    """Send the sub-request `attempt` for `service` to `upstream`.

    The attempt number is unique within its query; its answer comes back under
    that number. A slot of the upstream is already taken for it.
    """

    attempt: int
    service: str
    upstream: str
    snapshot: SnapshotId
    kind: AttemptKind
