"""The story of one request."""

import msgspec


class RequestExplanation(msgspec.Struct, frozen=True):
    """What happened to a request, in sentences, and what may be missing from it."""

    request_id: str
    sentences: tuple[str, ...]
    problems: tuple[str, ...]
