"""The body of a caller's query."""

import msgspec


class QueryRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Any JSON value, passed on to every upstream as it came."""

    query: msgspec.Raw
