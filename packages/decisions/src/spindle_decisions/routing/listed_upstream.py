"""One upstream as the list of upstreams has it."""

import msgspec


class ListedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """Identity, place and state of an upstream.

    `upstream_id` is new with each start. `warmup_ms` is how much longer it is slow
    after its start, counted from when the list was read.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    data_center: str
    slots: int = 1
    draining: bool = False
    warmup_ms: int = 0
