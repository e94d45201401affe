"""Entry point of `python -m spindle_devkit.upstream`."""

import typer

from spindle_devkit.upstream.main import run

typer.run(run)
