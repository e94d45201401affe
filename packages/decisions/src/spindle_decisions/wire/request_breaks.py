"""What is known of a request that ended the connections of upstreams."""

import msgspec


class RequestBreaks(msgspec.Struct, frozen=True, array_like=True):
    """The attempts of a request that broke connections, and the age of the last one.

    `breaks` contains pairs of the id of a caller's request and the id of an upstream.
    `spans_ms` has, for each pair, how long ago its attempts were first sent and last broke.
    `cleared` means that an upstream has answered the request: it does not crash them.
    """

    fingerprint: str
    breaks: tuple[tuple[str, str], ...]
    age_ms: int
    cleared: bool = False
    spans_ms: tuple[tuple[int, int], ...] = ()
