"""The parameters of one query."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QuerySpec:
    """A query to a group, or only to the service `only_service` if that is set.

    `deadline` is in monotonic seconds. If `pinned` is false, every sub-request
    asks for the newest snapshot held for its service, so the result may mix rows
    of several snapshots; this is for experiments only.
    """

    group: str
    deadline: float
    only_service: str = ""
    pinned: bool = True
