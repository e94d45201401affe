"""One row of an answer."""

import msgspec


class Row(msgspec.Struct, frozen=True):
    """A record with the snapshot it was read from and the query that asked for it."""

    service: str
    snapshot: str
    key: str
    value: str
    echo: msgspec.Raw
