"""How a stand-in upstream behaves at the moment."""

import msgspec


class Behavior(msgspec.Struct):
    """The behaviour that the control side changes while the process runs.

    `shed_ratio` of new work is refused. `freeze_until` is the monotonic second
    until which nothing is read or answered. `reported_load` replaces the true
    number in flight in load reports; `load_lag_s` reports how it was that long
    ago. The `*_next` counters apply to that many of the coming answers.
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
