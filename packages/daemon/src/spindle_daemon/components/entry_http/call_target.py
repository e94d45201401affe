"""The target of a caller's request, from its path."""

import dataclasses

from spindle_daemon.components.entry_http import const
from spindle_decisions.exceptions import BadRequestError


@dataclasses.dataclass(frozen=True)
class CallTarget:
    """What a request asks for; `service` is empty if the path names none."""

    group: str
    service: str
    operation: str


def parse_call_target(path: str) -> CallTarget:
    """Parse a path below `/v1/groups/`; raise `BadRequestError` if it is not a valid target."""
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
    raise BadRequestError(f"no such path; queries and runs are below {const.PREFIX_GROUPS}")
