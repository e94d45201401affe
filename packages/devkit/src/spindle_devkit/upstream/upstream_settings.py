"""The settings of one stand-in upstream."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint


@dataclass(frozen=True)
class UpstreamSettings:
    """How one stand-in upstream listens and behaves at its start.

    Service times are log-normal around `median_ms` with `sigma`; a share of
    `straggler_ratio` takes `straggler_factor` times as long. `connect_ms` is
    waited once per connection, before its first request. For `cold_start_s`
    after the start, service times are longer by up to `cold_factor`.
    """

    name: str
    service: str
    listen: Endpoint
    slots: int
    connections: int
    queue: int
    connect_ms: float
    median_ms: float
    sigma: float
    straggler_ratio: float
    straggler_factor: float
    cold_start_s: float
    cold_factor: float
    snapshots: tuple[str, ...]
    rows: int
    seed: int
