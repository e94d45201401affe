"""Shared fixtures of the accounting tests."""

from spindle_decisions.account.minute_counter import MinuteCounter
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.account.query_record import QueryRecord

DAY_MS = 24 * 60 * 60 * 1000
MINUTE_MS = 60_000
TARGET_MS = 330


def record(
    outcome: QueryOutcome = QueryOutcome.ANSWERED,
    latency_ms: int = 100,
    covered: int = 4,
    total: int = 4,
    group: str = "comptoir",
    code: str = "",
    missing: tuple[str, ...] = (),
    **load: int,
) -> QueryRecord:
    return QueryRecord(
        group=group,
        request_id="r",
        outcome=outcome,
        code=code,
        latency_us=latency_ms * 1000,
        target_ms=TARGET_MS,
        services_total=total,
        services_covered=covered,
        missing=missing,
        **{"needed": total, **load},
    )


def counter(instance: str = "entry-a", incarnation: int = 1, wall_ms: int = 0) -> MinuteCounter:
    return MinuteCounter(instance, incarnation, "rennes-a", lambda name: True, wall_ms)


def window(from_ms: int = 0, to_ms: int = DAY_MS, asked_ms: int = 2 * DAY_MS) -> PageWindow:
    return PageWindow("1970-01-01", "UTC", 0, from_ms, to_ms, asked_ms)
