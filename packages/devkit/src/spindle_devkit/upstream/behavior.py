"""The current behaviour of a stand-in upstream."""

import msgspec


class Behavior(msgspec.Struct):
    """The behaviour that can be changed through the control API.

    `shed_ratio` is the fraction of new requests that is refused. `freeze_until`
    is the time in monotonic seconds until which no request is read or answered.
    `reported_load` replaces the actual number of requests in flight in load
    reports; with `load_lag_s`, the number from that many seconds ago is
    reported. The `*_next` counters apply to that many of the next responses.
    """

    snapshots: frozenset[str]
    median_ms: float
    straggler_ratio: float
    straggler_factor: float
    cold_until: float
    draining: bool = False
    shed_ratio: float = 0.0
    freeze_until: float = 0.0
    reported_load: int | None = None
    load_lag_s: float = 0.0
    late_s: float = 0.0
    truncate_next: int = 0
    late_next: int = 0
    wrong_id_next: int = 0
    swap_next: int = 0
