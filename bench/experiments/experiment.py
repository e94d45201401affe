"""An experiment."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.figures import Figures
from bench.experiments.target import Target


@dataclass(frozen=True)
class Experiment:
    """An experiment with its arms and targets.

    The runner finds it as the constant `EXPERIMENT` of a module below
    `bench.experiments`.
    """

    name: str
    summary: str
    arms: Callable[[Context], Sequence[Arm]]
    targets: Callable[[Mapping[str, Figures]], Sequence[Target]]
