"""The program `spindled`.

The standard library is not patched: all waiting goes through gevent's own calls, and
patching takes a quarter of the start-up time.
"""

import pathlib
from typing import Annotated

import typer

from spindle_daemon.daemon import run
from spindle_daemon.helpers.log_setup import setup_logging
from spindle_daemon.helpers.process import read_key
from spindle_daemon.settings.loader import load_settings
from spindle_decisions.exceptions import SpindleError

EXIT_BAD_SETTINGS = 2
EXIT_FAILED = 1


def spindled(
    config: Annotated[pathlib.Path, typer.Option(help="Settings file (INI).")],
    check: Annotated[bool, typer.Option("--check", help="Check the settings and exit.")] = False,
) -> None:
    """Run one instance of the query tier with the role named in its settings."""
    try:
        settings = load_settings(config)
        read_key(settings)
    except SpindleError as err:
        typer.echo(f"{config}: {err.code}: {err}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from err
    if check:
        typer.echo(f"{config}: good")
        return
    setup_logging(settings.instance.log_level, settings.instance.name)
    try:
        run(settings)
    except SpindleError as err:
        typer.echo(f"{settings.instance.name}: {err.code}: {err}", err=True)
        raise typer.Exit(EXIT_FAILED) from err


def main() -> None:
    """Run the command line."""
    typer.run(spindled)


if __name__ == "__main__":
    main()
