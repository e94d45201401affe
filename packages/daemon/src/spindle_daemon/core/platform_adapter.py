"""Interface to a deployment platform: headers, paths, plan format and upstream list."""

import dataclasses
from typing import Protocol

from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.plan import RoutingPlan


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the headers that routed requests and answers carry, in lower case.

    `expect_upstream` names the upstream that may answer, `not_run` states that the
    upstream did not run the request, `rate_limit` limits the requests per second of all
    instances together, `leaving` says that the upstream is about to stop, `upstream_id` names
    the upstream that answers a health check, `signature` proves which upstream answered, and
    `part_signatures` and `missing_parts` describe a gathered answer.
    """

    request_id: str
    deadline_ms: str
    expect_upstream: str
    not_run: str
    load: str
    rate_limit: str
    leaving: str
    upstream_id: str
    signature: str
    part_signatures: str
    missing_parts: str
    retry_after: str


@dataclasses.dataclass(frozen=True)
class Paths:
    """Endpoints for callers and operators, as `METHOD /path`."""

    ready: str
    replace_plan: str
    read_plan: str


class PlanCodec(Protocol):
    """The format of plans."""

    def decode(self, document: bytes) -> RoutingPlan:
        """Read a plan; raise `PlanError` when it cannot be read in full."""


class UpstreamSource(Protocol):
    """The platform's list of upstreams."""

    def read(self) -> tuple[ListedUpstream, ...]:
        """Read the whole list without malformed entries; raise `UpstreamListError` on failure."""


@dataclasses.dataclass(frozen=True)
class PlatformAdapter:
    """Header names, paths, plan codec and upstream list of one platform."""

    headers: HeaderNames
    paths: Paths
    plans: PlanCodec
    upstreams: UpstreamSource
