"""Texts and numbers that the text and HTML formats of the page share."""

from spindle_decisions.account.day import format_time_of_day
from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.gap import Gap
from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.named_count import NamedCount
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.percentages import percent_down, percent_up
from spindle_decisions.account.percentile import Percentile
from spindle_decisions.account.reporting_instance import ReportingInstance
from spindle_decisions.account.verdict_rules import target_text
from spindle_decisions.util.units import US_PER_MS

MAX_GAPS_SHOWN = 50
MAX_SPANS_SHOWN = 6
CAUSE_LABELS = {
    "hedges": "hedges",
    "retries": "retries",
    "restarts": "restarts on a new snapshot",
    "probes": "probes",
}


def title(page: DayPage) -> str:
    """Return the title of a page."""
    window = page.window
    if window.is_over():
        return f"{window.day} ({window.timezone})"
    until = format_time_of_day(window.asked_ms, window.offset_minutes)
    return f"{window.day} ({window.timezone}), so far: up to {until}"


def latency_text(latency_us: int | None) -> str:
    """Format a latency; `None` becomes `never`."""
    if latency_us is None:
        return "never"
    if latency_us < 10 * US_PER_MS:
        return f"{latency_us / US_PER_MS:.1f} ms"
    return f"{-(-latency_us // US_PER_MS):,} ms"


def percentile_name(item: Percentile) -> str:
    """Return the name of a percentile, as in `p99.9`."""
    return f"p{item.percent:g}"


def outcome_rows(group: GroupPage) -> list[tuple[str, str, str]]:
    """Return rows of outcome, number of requests and share of all requests."""
    target = target_text(group.target_min_ms, group.target_max_ms)
    rows = [
        (f"whole answer within {target}", group.answered, True),
        ("whole answer, late", group.late, False),
        (f"partial answer ({group.partial_late:,} of them late)", group.partial, False),
    ]
    rows.extend((f"refused: {item.name}", item.count, False) for item in group.refused)
    rows.append(("outcome unknown", group.outcome_unknown, False))
    rows.append(("caller gone before the end", group.caller_gone, False))
    rows.append(("arrived, end not known", group.lost, False))
    return [
        (
            name,
            f"{count:,}",
            percent_down(count, group.total) if good else percent_up(count, group.total),
        )
        for name, count, good in rows
    ]


def coverage_rows(group: GroupPage) -> list[tuple[str, str, str]]:
    """Return the distribution of coverage, the worst first."""
    total_requests = sum(item.count for item in group.coverage)
    return [
        (
            item.name,
            f"{item.count:,}",
            (percent_down if item is group.coverage[-1] else percent_up)(
                item.count, total_requests
            ),
        )
        for item in group.coverage
    ]


def missing_services_text(group: GroupPage) -> str:
    """Name the services most often missing from answers."""
    if not group.missing and not group.missing_other:
        return "none"
    named = [f"{item.name} {item.count:,}" for item in group.missing]
    if group.missing_other:
        named.append(f"others {group.missing_other:,}")
    return ", ".join(named)


def added_load_text(group: GroupPage) -> str:
    """Format the number of sub-requests beyond the needed ones, by cause."""
    total = sum(item.count for item in group.added)
    causes = ", ".join(f"{CAUSE_LABELS[item.name]} {item.count:,}" for item in group.added)
    cancelled = f"cancelled before their answer, of all sent: {group.cancelled:,}"
    if not group.needed:
        return f"{total:,} sub-requests, with none needed ({causes}); {cancelled}"
    share = percent_up(total, group.needed)
    return f"{share} of {group.needed:,} needed sub-requests ({causes}); {cancelled}"


def reporting_instances_text(group: GroupPage) -> str:
    """List the instances that reported, each with its number of minutes with requests."""
    parts = [f"{item.name} {item.count:,} min" for item in sorted(group.basis, key=_name_of)]
    return f"minutes with requests: {', '.join(parts)}"


def instance_text(item: ReportingInstance, window: PageWindow) -> str:
    """Format the spans of the day for which an instance reported its counts."""
    spans = [
        f"{_clock(span.from_ms, window)}-{_clock(span.to_ms, window)}"
        for span in item.spans[:MAX_SPANS_SHOWN]
    ]
    if len(item.spans) > MAX_SPANS_SHOWN:
        spans.append(f"and {len(item.spans) - MAX_SPANS_SHOWN} more stretches")
    return f"{item.minutes:,} minutes: {', '.join(spans)}"


def gap_text(gap: Gap, window: PageWindow) -> str:
    """Format one gap."""
    span = f"{_clock(gap.from_ms, window)}-{_clock(gap.to_ms, window)}"
    return f"{gap.instance} {span}: {gap.reason}"


def gap_lines(page: DayPage) -> list[str]:
    """Format the first `MAX_GAPS_SHOWN` gaps, then the number of the others."""
    lines = [gap_text(gap, page.window) for gap in page.gaps[:MAX_GAPS_SHOWN]]
    if len(page.gaps) > MAX_GAPS_SHOWN:
        lines.append(f"and {len(page.gaps) - MAX_GAPS_SHOWN} more gaps")
    return lines


def _clock(wall_ms: int, window: PageWindow) -> str:
    if wall_ms == window.to_ms:
        return "24:00:00"
    return format_time_of_day(wall_ms, window.offset_minutes)


def _name_of(item: NamedCount) -> str:
    return item.name
