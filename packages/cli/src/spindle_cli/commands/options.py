"""Access to the session from a command."""

import typer

from spindle_cli.session import Session


def session_of(ctx: typer.Context) -> Session:
    """Return the session that the global options built."""
    session = ctx.obj
    assert isinstance(session, Session)
    return session
