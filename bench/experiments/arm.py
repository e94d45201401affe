"""One arm of an experiment."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.experiments.figures import Figures


@dataclass(frozen=True)
class Arm:
    """A named way of running the same load; `run` measures it."""

    name: str
    run: Callable[[], Figures]
