"""The page as plain text."""

from spindle_cli.page import formatting
from spindle_cli.table import format_table
from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.group_page import GroupPage


def render_text(page: DayPage) -> str:
    """Return the page: verdicts first, then what is missing, then the figures."""
    blocks = [_verdicts(page), _missing(page)]
    blocks.extend(_group(group) for group in page.groups)
    blocks.append(_reporting_instances(page))
    return "\n\n".join(blocks)


def _verdicts(page: DayPage) -> str:
    lines = [f"Day {formatting.title(page)}", ""]
    lines.extend(f"{group.group}: {group.line}" for group in page.groups)
    if not page.groups:
        lines.append("No request was counted.")
    return "\n".join(lines)


def _missing(page: DayPage) -> str:
    if page.is_complete():
        return "No gaps: every instance heard of accounts for all of its time."
    lines = ["What is missing (no group can be judged good):"]
    lines.extend(f"  {line}" for line in formatting.gap_lines(page))
    lines.extend(f"  {problem}" for problem in page.problems)
    return "\n".join(lines)


def _group(group: GroupPage) -> str:
    outcomes = format_table(("outcome", "requests", "share"), formatting.outcome_rows(group))
    percentiles = format_table(
        ("latency over all", "any end", "whole answer"),
        [
            (
                formatting.percentile_name(item),
                formatting.latency_text(item.all_us),
                formatting.latency_text(item.whole_us),
            )
            for item in group.percentiles
        ],
    )
    coverage = format_table(("coverage", "requests", "share"), formatting.coverage_rows(group))
    lines = [
        f"== {group.group} ==",
        f"arrived {group.arrived:,}; ended {group.total:,}; still open {group.still_open:,}",
        formatting.reporting_instances_text(group),
        "",
        outcomes,
        "",
        percentiles,
        f"longest: {formatting.latency_text(group.max_us)}",
        "",
        coverage,
        f"ended before their services were known: {group.coverage_unstated:,}",
        f"most often missing: {formatting.missing_services_text(group)}",
        "",
        f"added load: {formatting.added_load_text(group)}",
    ]
    return "\n".join(lines)


def _reporting_instances(page: DayPage) -> str:
    rows = [
        (
            item.instance,
            item.data_center,
            str(item.incarnations),
            formatting.instance_text(item, page.window),
        )
        for item in page.basis
    ]
    return "All figures rest on:\n" + format_table(
        ("instance", "data centre", "runs", "counted"), rows
    )
