"""The bus event of a newer list of upstreams."""

import dataclasses

from spindle_decisions.routing.upstream_list import UpstreamList


@dataclasses.dataclass(frozen=True)
class UpstreamListUpdated:
    """The list in force here, and how many entry instances share its upstreams."""

    upstream_list: UpstreamList
    entry_instance_count: int
