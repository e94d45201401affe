"""The settings of one stand-in upstream."""

from dataclasses import dataclass

from spindle_devkit.endpoint import Endpoint


@dataclass(frozen=True)
class UpstreamSettings:
    """The address and the initial behaviour of one stand-in upstream.

    Service times are log-normal with the median `median_ms` and `sigma`; a
    fraction `straggler_ratio` takes `straggler_factor` times as long.
    `connect_ms` is a delay per connection before its first request. Service
    times are multiplied by a factor that decreases from `cold_factor` to 1
    within `cold_start_s` after the start.
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
