"""Entry point of `python -m bench.load`."""

import pathlib
import sys
from typing import Annotated

import msgspec
import typer

from bench.load.generator import offer_load
from bench.load.load_file import load_file
from bench.load.summary import summarize
from spindle_decisions.exceptions import SettingsError

_EXIT_SETTINGS = 2


def run(config: Annotated[pathlib.Path, typer.Option(help="INI file of the load.")]) -> None:
    """Offer the load that an INI file describes and print its figures as JSON."""
    try:
        settings = load_file(config)
    except SettingsError as err:
        typer.echo(str(err), err=True)
        raise typer.Exit(_EXIT_SETTINGS) from err
    figures = summarize(offer_load(settings).records, settings.late_ms)
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(figures)).decode() + "\n")


if __name__ == "__main__":
    typer.run(run)
