"""The list of upstreams on its way to an instance."""

import msgspec


class ListPush(msgspec.Struct, frozen=True, tag="list-push"):
    """The list of that digest, encoded and compressed, and how old it is."""

    digest: str
    age_ms: int
    upstreams: bytes
