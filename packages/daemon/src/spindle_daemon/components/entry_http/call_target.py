"""Where a request to the entry goes."""

import dataclasses

from spindle_daemon.components.entry_http import const
from spindle_decisions.exceptions import BadRequestError


@dataclasses.dataclass(frozen=True)
class CallTarget:
    """The group, the one service if the path names it, and what to do."""

    group: str
    service: str
    operation: str


def parse_call_target(path: str) -> CallTarget:
    """Parse a path below `/v1/groups/`; raise `BadRequestError` for any other."""
    if path.startswith(const.PREFIX_GROUPS):
        parts = path.removeprefix(const.PREFIX_GROUPS).split("/")
        if (
            len(parts) == 2
            and parts[0]
            and parts[1] in (const.OPERATION_QUERY, const.OPERATION_RUN)
        ):
            return CallTarget(parts[0], "", parts[1])
        if (
            len(parts) == 4
            and all(parts)
            and parts[1::2] == [const.SEGMENT_SERVICES, const.OPERATION_QUERY]
        ):
            return CallTarget(parts[0], parts[2], parts[3])
    raise BadRequestError("no such path")
