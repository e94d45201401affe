"""The result of offering load."""

import msgspec

from bench.load.query_record import QueryRecord


class LoadRun(msgspec.Struct, frozen=True):
    """The records of all queries in order of arrival.

    `send_lag_max_ms` is the maximum delay between the intended arrival of a query
    and its sending; `started` is the monotonic time of the start in seconds.
    """

    records: list[QueryRecord]
    send_lag_max_ms: float
    started: float
