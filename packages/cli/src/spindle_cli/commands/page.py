"""The command `page`."""

import pathlib
import time
from typing import Annotated

import msgspec
import typer

from spindle_cli.commands.current_context import command_context
from spindle_cli.day_window import day_window
from spindle_cli.page.text_page import render_text
from spindle_cli.page_format import PageFormat
from spindle_cli.processes import discover_processes
from spindle_cli.settings_loader import parse_timezone
from spindle_cli.summary_source import SummarySource
from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.page_builder import build_page
from spindle_decisions.exceptions import SettingsError
from spindle_decisions.util.units import MS_PER_S

ROLE_ENTRY = "entry"


def page(
    ctx: typer.Context,
    day: Annotated[str, typer.Option(help="YYYY-MM-DD; today when left out.")] = "",
    group: Annotated[str, typer.Option(help="Only this service group.")] = "",
    page_format: Annotated[
        PageFormat, typer.Option("--format", help="Format of the page.")
    ] = PageFormat.TEXT,
    output: Annotated[
        pathlib.Path | None, typer.Option(help="Write to this file, not to the terminal.")
    ] = None,
    timezone: Annotated[str, typer.Option(help="Time zone of the day, as in Europe/Paris.")] = "",
) -> None:
    """Write the page of a day: a verdict per group, and the figures behind it.

    Every request is counted from its arrival, also one whose end never becomes
    known. Missing data is listed; while any is missing, no group is judged good.
    """
    context = command_context(ctx)
    zone = parse_timezone(timezone) if timezone else context.settings.timezone
    window = day_window(day, zone, int(time.time() * MS_PER_S))
    api = context.api()
    processes = discover_processes(api)
    source = SummarySource(api, processes)
    source.fetch(window)
    live_entries = frozenset(
        item.instance
        for item in processes.instances
        if item.role == ROLE_ENTRY and not item.leaving and not window.is_over()
    )
    day_page = build_page(window, source.summaries, tuple(source.problems), live_entries, group)
    page_format = PageFormat.JSON if context.settings.as_json else page_format
    write_out(render(day_page, page_format), output)


def render(day_page: DayPage, page_format: PageFormat) -> str:
    """Return the page in the given format."""
    if page_format is PageFormat.JSON:
        return msgspec.json.format(msgspec.json.encode(day_page), indent=2).decode()
    if page_format is PageFormat.HTML:
        from spindle_cli.page.html_page import render_html

        return render_html(day_page)
    return render_text(day_page)


def write_out(text: str, output: pathlib.Path | None) -> None:
    """Write the page to the terminal or a file; raise `SettingsError` if that fails."""
    if output is None:
        typer.echo(text)
        return
    try:
        output.write_text(text + "\n", encoding="utf-8")
    except OSError as err:
        raise SettingsError(f"{output} cannot be written: {err.strerror}") from err
