"""The result of an experiment."""

import msgspec

from bench.experiments.figures import Figures
from bench.experiments.target import Target


class ExperimentReport(msgspec.Struct, frozen=True):
    """The content of the JSON file, in the same form for all experiments."""

    experiment: str
    seed: int
    arms: dict[str, Figures]
    targets: list[Target]
