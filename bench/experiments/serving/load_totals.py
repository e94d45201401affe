"""What upstreams did during a load."""

from collections.abc import Mapping, Sequence

from bench.experiments.figures import Figures
from bench.load.query_record import QueryRecord
from spindle_devkit.upstream.counters import Counters

_REQUEST_COUNTERS = ("arrived", "executed", "finished", "cancelled_running", "cancelled_queued")
_REFUSAL_COUNTERS = ("refused_shed", "refused_draining", "refused_snapshot", "refused_deadline")


def upstream_totals(
    before: Mapping[str, Counters], after: Mapping[str, Counters]
) -> dict[str, int]:
    """Return the growth of each counter, summed over the upstreams.

    An upstream that was killed counts from its new start; what it did before is lost.
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
    """Return sub-requests that arrived at upstreams over the least needed, less 1.

    The least needed is one per service that an answer covers, so work for a
    query that got no answer is added load.
    """
    needed = sum(record.covered for record in records)
    return round(arrived / needed - 1.0, 5) if needed else 0.0


def connection_totals(after: Mapping[str, Counters]) -> Figures:
    """Return how many connections the upstreams saw at most, and refused."""
    return {
        "connections_max": max(item.connections_max for item in after.values()),
        "connections_refused": sum(item.connections_refused for item in after.values()),
    }
