"""The experiment that measures the cost slopes of the capacity page."""

from collections.abc import Callable, Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.capacity import batch_benchmark, catalog_benchmark
from bench.experiments.capacity.subrequest_benchmark import subrequest_http
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_least

REPEATS = 20_000
REPEATS_SHORT = 2_000
MIN_R_SQUARED = 0.95

SLOPES: tuple[tuple[str, Callable[[int], Figures]], ...] = (
    ("query-batch", batch_benchmark.query_batch),
    ("answer-merge", batch_benchmark.answer_merge),
    ("answer-batch", batch_benchmark.answer_batch),
    ("mesh-frame", batch_benchmark.mesh_frame),
    ("note-apply", catalog_benchmark.note_apply),
    ("catalog-memory", catalog_benchmark.catalog_memory),
    ("catalog-bytes", catalog_benchmark.catalog_bytes),
)


def _arm(name: str, measure: Callable[[int], Figures], repeats: int) -> Arm:
    return Arm(name, lambda: measure(repeats))


def _arms(context: Context) -> Sequence[Arm]:
    repeats = REPEATS_SHORT if context.short else REPEATS
    arms = [_arm(name, measure, repeats) for name, measure in SLOPES]
    return [Arm("subrequest-http", lambda: subrequest_http(context.folder)), *arms]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    return [
        at_least(f"fit of {name}", number(figures, "r_squared"), MIN_R_SQUARED)
        for name, figures in arms.items()
    ]


EXPERIMENT = Experiment("capacity", "cost slopes for the size to design for", _arms, _targets)
