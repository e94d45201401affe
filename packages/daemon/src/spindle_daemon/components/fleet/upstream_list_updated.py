"""Bus event: the list of upstreams or the number of entry instances changed."""

import dataclasses

from spindle_decisions.routing.upstream_list import UpstreamList


@dataclasses.dataclass(frozen=True)
class UpstreamListUpdated:
    """The list in force and the number of entry instances that share its upstreams."""

    upstream_list: UpstreamList
    entry_instance_count: int
