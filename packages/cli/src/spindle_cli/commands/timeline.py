"""The commands `timeline` and `explain`."""

import time
from typing import Annotated

import gevent
import msgspec
import typer

from spindle_cli import const
from spindle_cli.commands.current_context import command_context
from spindle_cli.models.request_explanation import RequestExplanation
from spindle_cli.output import print_json, time_text
from spindle_cli.processes import discover_processes
from spindle_cli.since_option import parse_since
from spindle_cli.timeline_source import TimelineBatch, TimelineSource
from spindle_decisions.exceptions import UnreachableError
from spindle_decisions.timeline.event import Event
from spindle_decisions.timeline.event_filter import EventFilter
from spindle_decisions.timeline.request_explanation import describe_event, explain_request
from spindle_decisions.util.units import MS_PER_S


def timeline(
    ctx: typer.Context,
    since: Annotated[
        str, typer.Option(help="An age such as 10m, a time, or a stamp of an event.")
    ] = "",
    request: Annotated[str, typer.Option(help="Only events of this request id.")] = "",
    note: Annotated[int, typer.Option(min=0, help="Only events of this note.")] = 0,
    upstream: Annotated[str, typer.Option(help="Only events of this upstream.")] = "",
    follow: Annotated[
        bool, typer.Option("--follow", help="Keep printing new events until interrupted.")
    ] = False,
) -> None:
    """Show the events of all processes, causes before effects.

    Each process keeps a bounded number of events. Processes that could not be
    queried, or that have dropped old events, are named on standard error.
    """
    context = command_context(ctx)
    as_json = context.settings.as_json
    event_filter = EventFilter(
        parse_since(since, int(time.time() * MS_PER_S)), request, note, upstream
    )
    api = context.api()
    source = TimelineSource(api, discover_processes(api), event_filter)
    printed: set[str] = set()
    while True:
        batch = source.fetch()
        if as_json and not follow:
            print_json(batch)
        else:
            _print_events(batch.events, as_json)
        _print_problems(batch, printed)
        if not follow:
            return
        gevent.sleep(const.FOLLOW_INTERVAL_S)
        source.processes = discover_processes(api)


def explain(
    ctx: typer.Context,
    request: Annotated[str, typer.Argument(help="The request id, as given in the answer.")],
) -> None:
    """Explain what happened to one request, in sentences."""
    context = command_context(ctx)
    api = context.api()
    processes = discover_processes(api)
    batch = TimelineSource(api, processes, EventFilter(request_id=request)).fetch()
    if not batch.events and len(batch.problems) >= len(processes.addresses()):
        raise UnreachableError("; ".join(batch.problems))
    sentences = explain_request(request, batch.events)
    if context.settings.as_json:
        print_json(RequestExplanation(request, sentences, batch.problems))
        return
    for sentence in sentences:
        typer.echo(sentence)
    _print_problems(batch, set())


def _print_events(events: tuple[Event, ...], as_json: bool) -> None:
    for event in events:
        if as_json:
            typer.echo(msgspec.json.encode(event).decode())
        else:
            request_suffix = f" [{event.request_id}]" if event.request_id else ""
            typer.echo(f"{time_text(event.stamp.wall_ms)}  {describe_event(event)}{request_suffix}")


def _print_problems(batch: TimelineBatch, printed: set[str]) -> None:
    for problem in batch.problems:
        if problem not in printed:
            printed.add(problem)
            typer.echo(problem, err=True)
