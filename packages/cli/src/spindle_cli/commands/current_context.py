"""Access to the context that all commands share."""

import typer

from spindle_cli.command_context import CommandContext


def command_context(ctx: typer.Context) -> CommandContext:
    """Return the context that the global options created."""
    context = ctx.obj
    assert isinstance(context, CommandContext)
    return context
