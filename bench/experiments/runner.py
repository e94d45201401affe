"""Runs experiments from the command line."""

import logging
import pathlib
import sys
import tempfile
import time
from typing import Annotated

import msgspec
import typer

from bench.experiments.arm import Arm
from bench.experiments.catalog import find_experiments
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures
from bench.experiments.report import ExperimentReport

_LOGGER = logging.getLogger(__name__)

LIST = "list"
DEFAULT_SEED = 1
_EXIT_UNKNOWN = 2


def run_experiment(experiment: Experiment, context: Context) -> ExperimentReport:
    """Run all arms one after the other and compare their figures with the targets."""
    arms = experiment.arms(context)
    try:
        for arm in reversed(arms):
            arm.prepare()
        figures = {arm.name: _run_arm(experiment.name, arm) for arm in arms}
    finally:
        for arm in arms:
            arm.close()
    return ExperimentReport(
        experiment.name, context.seed, figures, list(experiment.targets(figures))
    )


def _run_arm(experiment: str, arm: Arm) -> Figures:
    started = time.monotonic()
    figures = arm.run()
    _LOGGER.info("%s: arm %s took %.1f s", experiment, arm.name, time.monotonic() - started)
    return figures


def main(
    name: Annotated[str, typer.Argument(help=f"Name of an experiment, or {LIST}.")],
    seed: Annotated[int, typer.Option(help="Seed of arrivals and service times.")] = DEFAULT_SEED,
    json: Annotated[pathlib.Path | None, typer.Option(help="File for the result.")] = None,
    short: Annotated[bool, typer.Option("--short", help="Run the form under 40 s.")] = False,
) -> None:
    """Run an experiment; the exit code is 0 even if a target is missed."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(message)s")
    experiments = find_experiments()
    if name == LIST:
        for item in experiments.values():
            typer.echo(f"{item.name:16} {item.summary}")
        return
    if name not in experiments:
        typer.echo(f"no experiment {name}; known: {', '.join(experiments)}", err=True)
        raise typer.Exit(_EXIT_UNKNOWN)
    with tempfile.TemporaryDirectory(prefix="spindle-") as folder:
        report = run_experiment(experiments[name], Context(seed, short, pathlib.Path(folder)))
    data = msgspec.json.format(msgspec.json.encode(report))
    if json is None:
        typer.echo(data.decode())
    else:
        json.write_bytes(data + b"\n")
    for target in report.targets:
        word = "met" if target.met else "missed"
        typer.echo(f"{target.name}: {target.value:g}, wanted {target.bound}: {word}", err=True)


if __name__ == "__main__":
    typer.run(main)
