"""The action that sends a sub-request."""

import dataclasses

from spindle_decisions.serving.attempt_kind import AttemptKind
from spindle_decisions.serving.snapshot_id import SnapshotId


@dataclasses.dataclass(frozen=True, slots=True)
class SendSubRequest:
    """Send the sub-request `attempt` for `service` to `upstream`.

    The attempt number is unique within the query and identifies the answer. A
    slot of the upstream has already been acquired for the sub-request.
    """

    attempt: int
    service: str
    upstream: str
    snapshot: SnapshotId
    kind: AttemptKind
