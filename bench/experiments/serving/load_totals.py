"""Totals of the upstreams during a load."""

from collections.abc import Mapping, Sequence

from bench.experiments.figures import Figures
from bench.load.query_record import QueryRecord
from spindle_devkit.upstream.counters import Counters

_REQUEST_COUNTERS = ("arrived", "executed", "finished", "cancelled_running", "cancelled_queued")
_REFUSAL_COUNTERS = ("refused_shed", "refused_draining", "refused_snapshot", "refused_deadline")


def upstream_totals(
    before: Mapping[str, Counters], after: Mapping[str, Counters]
) -> dict[str, int]:
    """Return the increase of each counter, summed over the upstreams.

    For a restarted upstream, only the counts since its restart are included.
    """
    return {
        name: sum(_growth(name, before.get(key), now) for key, now in after.items())
        for name in (*_REQUEST_COUNTERS, *_REFUSAL_COUNTERS)
    }


def _growth(name: str, before: Counters | None, now: Counters) -> int:
    value: int = getattr(now, name)
    if before is None or now.arrived < before.arrived:
        return value
    earlier: int = getattr(before, name)
    return value - earlier


def added_load_ratio(arrived: int, records: Sequence[QueryRecord]) -> float:
    """Return the ratio of arrived sub-requests to the minimum needed, minus 1.

    The minimum is one sub-request per service that an answer covers, so that
    sub-requests of a query without an answer are added load.
    """
    needed = sum(record.covered for record in records)
    return round(arrived / needed - 1.0, 5) if needed else 0.0


def connection_totals(after: Mapping[str, Counters]) -> Figures:
    """Return the maximum connections of any upstream and the refused ones of all."""
    return {
        "connections_max": max(item.connections_max for item in after.values()),
        "connections_refused": sum(item.connections_refused for item in after.values()),
    }
