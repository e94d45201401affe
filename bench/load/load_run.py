"""The result of offering load."""

import msgspec

from bench.load.query_record import QueryRecord


class LoadRun(msgspec.Struct, frozen=True):
    """All queries in order of arrival.

    `send_lag_max_ms` is the longest time by which the generator sent a query
    after its intended arrival; `started` is the monotonic second of the start.
    """

    records: list[QueryRecord]
    send_lag_max_ms: float
    started: float
