"""One entry of the list of upstreams."""

import msgspec


class ListedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """Identity, address and state of an upstream.

    Each start of an upstream has a new `upstream_id`. `warmup_ms` is the time for which
    it is still slow after its start, counted from the reading of the list.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    data_center: str
    slots: int = 1
    draining: bool = False
    warmup_ms: int = 0
