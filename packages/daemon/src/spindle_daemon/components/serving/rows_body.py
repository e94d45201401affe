"""The body of a good answer to a query."""

import msgspec


class RowsBody(msgspec.Struct, frozen=True):
    """The rows of one service, passed on as they came."""

    rows: list[msgspec.Raw]
