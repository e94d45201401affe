"""Settings of the endpoint for callers."""

import dataclasses

from spindle_daemon.settings.endpoint import Endpoint


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """The address that callers connect to and the limits on them.

    `stop_lag_ms` is how long a stopping instance continues to serve new requests,
    because the load balancer may still send some.
    """

    listen: Endpoint
    max_body_bytes: int
    max_callers: int
    header_timeout_ms: int
    body_timeout_ms: int
    idle_timeout_ms: int
    stop_lag_ms: int
