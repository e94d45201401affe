"""Limits on what a caller may do to an HTTP endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpLimits:
    """Times in seconds and sizes in bytes that one caller is held to.

    `header_timeout_s` covers a request's head from its first byte,
    `body_timeout_s` its body, `idle_timeout_s` the wait for a next request and
    the writing of an answer to a caller who does not read.
    """

    max_body_bytes: int
    max_callers: int
    header_timeout_s: float
    body_timeout_s: float
    idle_timeout_s: float
