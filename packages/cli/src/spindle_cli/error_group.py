"""The command group that turns errors into exit codes."""

from typing import Any

from typer.core import TyperGroup

from spindle_cli.command_context import CommandContext
from spindle_cli.exit_code import exit_code_for
from spindle_cli.output import print_error
from spindle_decisions.exceptions import RemoteError, SpindleError


class ErrorGroup(TyperGroup):
    """Prints an error with its code and exits with the matching exit code."""

    def invoke(self, ctx: Any) -> Any:
        """Run a command; print any `SpindleError` and exit with its code."""
        try:
            return super().invoke(ctx)
        except SpindleError as err:
            winner = err.winner_digest if isinstance(err, RemoteError) else ""
            print_error(err.code, str(err), _as_json(ctx), winner)
            ctx.exit(int(exit_code_for(err)))


def _as_json(ctx: Any) -> bool:
    return isinstance(ctx.obj, CommandContext) and ctx.obj.settings.as_json
