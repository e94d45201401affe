"""The body of a query to an upstream."""

import msgspec


class QueryRequest(msgspec.Struct, frozen=True):
    """A query to the shard that the upstream serves; the query itself is opaque."""

    service: str
    query: msgspec.Raw
