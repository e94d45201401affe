"""A request on its way to the upstreams."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoutedRequest:
    """What the caller sent, byte for byte, and how long it waits from now on.

    `headers` are the end-to-end headers in order; `request_id` is empty if the caller
    gave none.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    has_body: bool
    request_id: str
    deadline_s: float
    arrived_at: float
