"""The slopes that the capacity page rests on."""

from collections.abc import Callable, Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.capacity import batch_trial, catalog_trial
from bench.experiments.capacity.subrequest_trial import subrequest_http
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_least

REPEATS = 20_000
REPEATS_SHORT = 2_000
GOOD_FIT = 0.95

SLOPES: tuple[tuple[str, Callable[[int], Figures]], ...] = (
    ("query-batch", batch_trial.query_batch),
    ("answer-merge", batch_trial.answer_merge),
    ("answer-batch", batch_trial.answer_batch),
    ("mesh-frame", batch_trial.mesh_frame),
    ("note-apply", catalog_trial.note_apply),
    ("catalog-memory", catalog_trial.catalog_memory),
    ("catalog-bytes", catalog_trial.catalog_bytes),
)


def _arm(name: str, measure: Callable[[int], Figures], repeats: int) -> Arm:
    return Arm(name, lambda: measure(repeats))


def _arms(context: Context) -> Sequence[Arm]:
    repeats = REPEATS_SHORT if context.short else REPEATS
    arms = [_arm(name, measure, repeats) for name, measure in SLOPES]
    return [Arm("subrequest-http", lambda: subrequest_http(context.folder)), *arms]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    return [
        at_least(f"fit of {name}", number(figures, "r_squared"), GOOD_FIT)
        for name, figures in arms.items()
    ]


EXPERIMENT = Experiment("capacity", "cost slopes for the size to design for", _arms, _targets)
