"""Access to the session from a command."""

import typer

from spindle_cli.command_context import CommandContext


def command_context(ctx: typer.Context) -> CommandContext:
    """Return the session that the global options built."""
    context = ctx.obj
    assert isinstance(context, CommandContext)
    return context
