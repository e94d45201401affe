"""The body of a caller's query."""

import msgspec


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A query of any JSON value, passed on to the upstreams unchanged."""

    query: msgspec.Raw
