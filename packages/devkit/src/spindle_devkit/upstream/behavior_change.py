"""A behaviour change requested through the control API."""

import msgspec


class BehaviorChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The behaviour to change; a field that is left out is not changed.

    `upstream` names one stand-in upstream of the process; empty means all.
    `truthful_load` ends false and delayed load reports. `cold_start` restarts
    the cold start.
    """

    upstream: str = ""
    snapshots: tuple[str, ...] | None = None
    draining: bool | None = None
    shed_ratio: float | None = None
    freeze_s: float | None = None
    reported_load: int | None = None
    load_lag_s: float | None = None
    truthful_load: bool = False
    median_ms: float | None = None
    straggler_ratio: float | None = None
    straggler_factor: float | None = None
    cold_start: bool = False
    truncate_next: int | None = None
    swap_next: int | None = None
    wrong_id_next: int | None = None
    late_next: int | None = None
    late_s: float | None = None
    refuse_connections: bool | None = None
    reset_connections: bool = False
