"""One arm of an experiment."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.experiments.figures import Figures


def _no_op() -> None:
    """Do nothing."""


@dataclass(frozen=True)
class Arm:
    """A named variant of an experiment; `run` measures it.

    All arms are prepared in reverse order before the first one runs, so that the
    processes of the later ones can settle meanwhile. All are closed at the end.
    """

    name: str
    run: Callable[[], Figures]
    prepare: Callable[[], None] = _no_op
    close: Callable[[], None] = _no_op
