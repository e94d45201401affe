"""The status of a deployment as known to one control instance."""

import msgspec

from spindle_decisions.operator.data_center_status import DataCenterStatus


class StatusReply(msgspec.Struct, frozen=True):
    """The newest accepted version and the data centres in which it is in force."""

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
