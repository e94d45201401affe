"""The result of an experiment."""

import msgspec

from bench.experiments.figures import Figures
from bench.experiments.target import Target


class ExperimentReport(msgspec.Struct, frozen=True):
    """What is written to the JSON file; its form is the same for all experiments."""

    experiment: str
    seed: int
    arms: dict[str, Figures]
    targets: list[Target]
