"""The body of an answer to a query."""

import msgspec

from spindle_devkit.upstream.row import Row


class QueryAnswer(msgspec.Struct, frozen=True):
    """The rows of one shard that answer a query."""

    rows: tuple[Row, ...]
