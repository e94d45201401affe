"""Separation of end-to-end from hop-by-hop headers."""

from collections.abc import Iterable

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)
_CONNECTION = "connection"


def answer_headers(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers of an answer."""
    return end_to_end_headers(headers, frozenset())


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, without `dropped`, whose names are in lower case."""
    pairs = tuple(headers)
    named = {
        name_in_list.strip().lower()
        for name, value in pairs
        if name.lower() == _CONNECTION
        for name_in_list in value.split(",")
    }
    excluded = _HOP_BY_HOP | dropped | named
    return tuple((name, value) for name, value in pairs if name.lower() not in excluded)
