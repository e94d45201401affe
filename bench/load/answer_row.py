"""A row in an answer to a caller."""

import msgspec


class AnswerRow(msgspec.Struct, frozen=True):
    """A record with its snapshot and an echo of the query that it answers."""

    service: str
    snapshot: str
    key: str
    echo: dict[str, str]
