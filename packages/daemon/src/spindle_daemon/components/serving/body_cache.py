"""Encoded bodies of the sub-requests of one query."""

import msgspec

_ENCODER = msgspec.json.Encoder()


class QueryBody(msgspec.Struct, frozen=True):
    """The body of a sub-request to one service."""

    service: str
    query: msgspec.Raw


class BodyCache(dict[str, bytes]):
    """Sub-request bodies by service name, encoded on first use."""

    def __init__(self, query: msgspec.Raw) -> None:
        super().__init__()
        self.query = query

    def __missing__(self, service: str) -> bytes:
        body = self[service] = _ENCODER.encode(QueryBody(service, self.query))
        return body
