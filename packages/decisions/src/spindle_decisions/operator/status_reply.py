"""The state of a deployment as one control instance sees it."""

import msgspec

from spindle_decisions.operator.data_center_status import DataCenterStatus


class StatusReply(msgspec.Struct, frozen=True):
    """The version that is accepted, and where it is in force."""

    control: str
    role: str
    term: int
    leader: str
    stale: bool
    quorum_age_ms: int
    version: int
    digest: str
    applied_index: int
    data_centers: tuple[DataCenterStatus, ...]
