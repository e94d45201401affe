"""The body of a successful answer to a sub-request."""

import msgspec


class RowsBody(msgspec.Struct, frozen=True):
    """The rows of one service, passed on without decoding."""

    rows: list[msgspec.Raw]
