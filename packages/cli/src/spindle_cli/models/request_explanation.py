"""The JSON output of the command `explain`."""

import msgspec


class RequestExplanation(msgspec.Struct, frozen=True):
    """Sentences that explain a request, and problems that may make them incomplete."""

    request_id: str
    sentences: tuple[str, ...]
    problems: tuple[str, ...]
