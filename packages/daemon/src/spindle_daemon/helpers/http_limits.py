"""Limits that an HTTP endpoint enforces on its callers."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpLimits:
    """Body size, number of open connections and timeouts of one endpoint.

    `header_timeout_s` limits the time to read a request's head, from its first byte,
    and `body_timeout_s` the time to read its body. `idle_timeout_s` limits the wait for
    the next request and the writing of an answer to a caller that does not read.
    """

    max_body_bytes: int
    max_callers: int
    header_timeout_s: float
    body_timeout_s: float
    idle_timeout_s: float
