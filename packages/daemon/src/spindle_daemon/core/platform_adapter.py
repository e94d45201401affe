"""What a deployment platform speaks, as the components need it."""

import dataclasses
from typing import Protocol

from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.plan import RoutingPlan


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Names of the headers that routed requests and answers carry, in lower case.

    `expect_upstream` names the upstream that may answer, `not_run` says that the
    upstream did not run the request, `signature` proves which upstream answered,
    `part_signatures` and `missing_parts` describe a gathered answer.
    """

    request_id: str
    deadline_ms: str
    expect_upstream: str
    not_run: str
    load: str
    signature: str
    part_signatures: str
    missing_parts: str
    retry_after: str


@dataclasses.dataclass(frozen=True)
class Paths:
    """Methods and paths, as `METHOD /path`, that callers and operators use."""

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
        """Read the whole list; raise `UpstreamListError`. Malformed entries are left out."""


@dataclasses.dataclass(frozen=True)
class PlatformAdapter:
    """Names, formats and calls of one platform."""

    headers: HeaderNames
    paths: Paths
    plans: PlanCodec
    upstreams: UpstreamSource
