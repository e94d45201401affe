"""The commands `notes` and `show`."""

from typing import Annotated

import typer

from spindle_cli import const
from spindle_cli.commands.current_context import command_context
from spindle_cli.output import print_json, time_text
from spindle_cli.table import format_table
from spindle_decisions.operator.note_details import NoteDetails


def notes(ctx: typer.Context) -> None:
    """List the accepted release notes."""
    context = command_context(ctx)
    rows = context.api().request_any("GET", const.PATH_NOTES, tuple[NoteDetails, ...])
    if context.settings.as_json:
        print_json(rows)
        return
    typer.echo(
        format_table(
            ("number", "id", "author", "version", "accepted (UTC)", "digest"),
            [
                (
                    str(row.number),
                    row.note_id,
                    row.author,
                    str(row.version),
                    time_text(row.applied_at_ms),
                    row.digest,
                )
                for row in rows
            ],
        )
    )


def show(
    ctx: typer.Context,
    number: Annotated[int, typer.Argument(min=1, help="The number of the note.")],
) -> None:
    """Show one accepted release note."""
    context = command_context(ctx)
    row = context.api().request_any("GET", f"{const.PATH_NOTES}/{number}", NoteDetails)
    if context.settings.as_json:
        print_json(row)
        return
    typer.echo(f"number    {row.number}")
    typer.echo(f"id        {row.note_id}")
    typer.echo(f"author    {row.author}")
    typer.echo(f"version   {row.version}")
    typer.echo(f"accepted  {time_text(row.applied_at_ms)} UTC")
    typer.echo(f"digest    {row.digest}")
    if row.text:
        typer.echo(f"\n{row.text}")
