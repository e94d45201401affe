"""The list of upstreams, pushed to an instance."""

import msgspec


class ListPush(msgspec.Struct, frozen=True, tag="list-push"):
    """The encoded and compressed list of upstreams with its digest and its age."""

    digest: str
    age_ms: int
    upstreams: bytes
