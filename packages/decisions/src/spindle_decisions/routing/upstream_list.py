"""The list of upstreams at one time."""

import msgspec
import xxhash

from spindle_decisions.routing.listed_upstream import ListedUpstream


class UpstreamList(msgspec.Struct, frozen=True):
    """Content of the platform's list when it was read; `digest` identifies it."""

    digest: str
    upstreams: tuple[ListedUpstream, ...]


def create_upstream_list(upstreams: tuple[ListedUpstream, ...]) -> UpstreamList:
    """Return the sorted list with a digest that excludes the warm-up times."""
    ordered = tuple(sorted(upstreams, key=lambda item: (item.upstream_id, item.host, item.port)))
    without_warmup = tuple(msgspec.structs.replace(item, warmup_ms=0) for item in ordered)
    return UpstreamList(_digest(without_warmup), ordered)


def _digest(upstreams: tuple[ListedUpstream, ...]) -> str:
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(upstreams))
