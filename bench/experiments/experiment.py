"""An experiment."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.figures import Figures
from bench.experiments.target import Target


@dataclass(frozen=True)
class Experiment:
    """A question with its arms and targets.

    Modules below `bench.experiments` that hold one as `EXPERIMENT` are found by
    the runner.
    """

    name: str
    summary: str
    arms: Callable[[Context], Sequence[Arm]]
    targets: Callable[[Mapping[str, Figures]], Sequence[Target]]
