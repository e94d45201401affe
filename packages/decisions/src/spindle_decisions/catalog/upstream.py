"""The upstream model."""

import msgspec

DEFAULT_SLOTS = 2
DEFAULT_CONNECTIONS = 25


class Upstream(msgspec.Struct, frozen=True):
    """One replica that serves a service.

    `slots` is how many requests it runs concurrently; `connections` is how many
    TCP connections it accepts from all entry instances together. `draining` is
    set by a release note or by an operator; the upstream then gets no new work.
    """

    name: str
    service: str
    data_center: str
    host: str
    port: int
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    draining: bool = False
