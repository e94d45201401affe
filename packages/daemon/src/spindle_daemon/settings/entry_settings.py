"""Settings of the endpoint for callers."""

import dataclasses

from spindle_daemon.settings.endpoint import Endpoint


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Where callers connect and what is accepted from them.

    `stop_lag_ms` is how long a stopping instance goes on serving new requests
    because the balancer may still send them.
    """

    listen: Endpoint
    max_body_bytes: int
    max_callers: int
    header_timeout_ms: int
    body_timeout_ms: int
    idle_timeout_ms: int
    stop_lag_ms: int
