"""Finds experiments."""

import importlib
import pkgutil

import bench.experiments
from bench.experiments.experiment import Experiment

ATTRIBUTE = "EXPERIMENT"


def find_experiments() -> dict[str, Experiment]:
    """Return all experiments by name."""
    found: dict[str, Experiment] = {}
    packages = bench.experiments.__path__
    for info in pkgutil.walk_packages(packages, f"{bench.experiments.__name__}."):
        experiment = getattr(importlib.import_module(info.name), ATTRIBUTE, None)
        if isinstance(experiment, Experiment):
            found[experiment.name] = experiment
    return dict(sorted(found.items()))
