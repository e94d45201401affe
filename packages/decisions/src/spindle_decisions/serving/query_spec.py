"""What one query asks for."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QuerySpec:
    """A query to a group, or to the one service `only`.

    `deadline` is in monotonic seconds. With `pinned` off, every sub-request
    asks for the newest snapshot of its replica and rows of several snapshots
    are mixed; that exists for experiments alone.
    """

    group: str
    deadline: float
    only_service: str = ""
    pinned: bool = True
