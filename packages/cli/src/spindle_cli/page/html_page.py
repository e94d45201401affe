"""The page as one self-contained HTML file."""

import html
from collections.abc import Iterable, Sequence

from spindle_cli.page import formatting, plots
from spindle_cli.page.style import STYLE
from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.group_page import GroupPage


def render_html(page: DayPage) -> str:
    """Return the page with its plots: verdicts first, then what is missing, then figures."""
    name = html.escape(formatting.title(page))
    body = [f"<h1>Day {name}</h1>", *_verdicts(page), *_missing(page)]
    for group in page.groups:
        body.extend(_group(page, group))
    body.extend(_reporting_instances(page))
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>Day {name}</title><style>{STYLE}</style></head>\n<body>\n"
        + "\n".join(body)
        + "\n</body></html>\n"
    )


def _verdicts(page: DayPage) -> Iterable[str]:
    if not page.groups:
        yield "<p>No request was counted.</p>"
    for group in page.groups:
        verdict_class = group.verdict.split()[0]
        text = html.escape(f"{group.group}: {group.line}")
        yield f'<p class="verdict {verdict_class}">{text}</p>'


def _missing(page: DayPage) -> Iterable[str]:
    if page.is_complete():
        yield "<p>No gaps: every instance heard of accounts for all of its time.</p>"
        return
    yield '<div class="missing"><h3>What is missing</h3><p>No group can be judged good.</p><ul>'
    for line in (*formatting.gap_lines(page), *page.problems):
        yield f"<li>{html.escape(line)}</li>"
    yield "</ul></div>"


def _group(page: DayPage, group: GroupPage) -> Iterable[str]:
    yield f"<h2>{html.escape(group.group)}</h2>"
    yield (
        f"<p>Arrived {group.arrived:,}; ended {group.total:,}; "
        f"still open {group.still_open:,}.</p>"
    )
    yield f'<p class="basis">{html.escape(formatting.reporting_instances_text(group))}</p>'
    yield _table(("outcome", "requests", "share"), formatting.outcome_rows(group))
    yield "<h3>Latency over all requests</h3>"
    yield _table(("", "any end", "whole answer"), _percentile_rows(group))
    yield f"<p>Longest: {formatting.latency_text(group.max_us)}</p>"
    yield plots.latency_plot(group)
    yield plots.success_rate_plot(group, page.window)
    yield "<h3>Coverage</h3>"
    yield _table(("services covered", "requests", "share"), formatting.coverage_rows(group))
    yield f"<p>Ended before their services were known: {group.coverage_unstated:,}.</p>"
    yield f"<p>Most often missing: {html.escape(formatting.missing_services_text(group))}</p>"
    yield plots.coverage_plot(group, page.window)
    yield "<h3>Added load</h3>"
    yield f"<p>{html.escape(formatting.added_load_text(group))}</p>"
    yield plots.added_load_plot(group, page.window)
    yield '<p class="basis">Grey stretches of a plot have gaps in their counts.</p>'


def _percentile_rows(group: GroupPage) -> list[tuple[str, str, str]]:
    return [
        (
            formatting.percentile_name(item),
            formatting.latency_text(item.all_us),
            formatting.latency_text(item.whole_us),
        )
        for item in group.percentiles
    ]


def _reporting_instances(page: DayPage) -> Iterable[str]:
    yield "<h2>What all figures rest on</h2>"
    rows = [
        (
            item.instance,
            item.data_center,
            str(item.incarnations),
            formatting.instance_text(item, page.window),
        )
        for item in page.basis
    ]
    yield _table(("instance", "data centre", "runs", "counted"), rows)


def _table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    cells = "".join(f"<th>{html.escape(cell)}</th>" for cell in header)
    lines = [f"<tr>{cells}</tr>"]
    for row in rows:
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in row)
        lines.append(f"<tr>{cells}</tr>")
    return f"<table>{''.join(lines)}</table>"
