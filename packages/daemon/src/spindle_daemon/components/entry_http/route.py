"""Where a request to the entry goes."""

import dataclasses

from spindle_daemon.components.entry_http import const
from spindle_decisions.exceptions import BadRequestError


@dataclasses.dataclass(frozen=True)
class Route:
    """The group, the one service if the path names it, and what to do."""

    group: str
    service: str
    word: str


def parse_route(path: str) -> Route:
    """Parse a path below `/v1/groups/`; raise `BadRequestError` for any other."""
    if path.startswith(const.PREFIX_GROUPS):
        parts = path.removeprefix(const.PREFIX_GROUPS).split("/")
        if len(parts) == 2 and parts[0] and parts[1] in (const.WORD_QUERY, const.WORD_RUN):
            return Route(parts[0], "", parts[1])
        if (
            len(parts) == 4
            and all(parts)
            and parts[1::2] == [const.WORD_SERVICES, const.WORD_QUERY]
        ):
            return Route(parts[0], parts[2], parts[3])
    raise BadRequestError("no such path")
