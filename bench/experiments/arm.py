"""One arm of an experiment."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.experiments.figures import Figures


def _no_op() -> None:
    """Do nothing."""


@dataclass(frozen=True)
class Arm:
    """A named way of running the same load; `run` measures it.

    All arms of an experiment are prepared before the first is run, the last one
    first, so that their processes can settle meanwhile; all are closed at the end.
    """

    name: str
    run: Callable[[], Figures]
    prepare: Callable[[], None] = _no_op
    close: Callable[[], None] = _no_op
