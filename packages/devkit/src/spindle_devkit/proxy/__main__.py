"""Entry point of `python -m spindle_devkit.proxy`."""

import typer

from spindle_devkit.proxy.main import run

typer.run(run)
