"""A row in an answer to a query."""

import msgspec


class Row(msgspec.Struct, frozen=True):
    """A record with the snapshot it was read from and an echo of the query."""

    service: str
    snapshot: str
    key: str
    value: str
    echo: msgspec.Raw
