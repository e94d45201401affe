"""Compares sub-requests in batches over a tree of instances with ones sent individually."""

from collections.abc import Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.capacity.subrequest_benchmark import subrequest_http
from bench.experiments.capacity.tree_benchmark import TreeBenchmark
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_most

QUERIES_PER_WINDOW = (1, 2, 5, 10)
DURATION_S = 10.0
DURATION_SHORT_S = 3.0
MAX_P99_MS = 330.0
SUBREQUESTS_PER_S_PER_NODE = 94_000 * 1_300 / 400


def _arm(context: Context, queries: int) -> Arm:
    name = f"tree-{queries}"
    duration_s = DURATION_SHORT_S if context.short else DURATION_S
    return Arm(name, lambda: TreeBenchmark(context.folder / name, queries).run(duration_s))


def _arms(context: Context) -> Sequence[Arm]:
    one_by_one = Arm("one-by-one", lambda: subrequest_http(context.folder))
    return [one_by_one, *(_arm(context, queries) for queries in QUERIES_PER_WINDOW)]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    best = arms[f"tree-{QUERIES_PER_WINDOW[-1]}"]
    cost = number(best, "sender_us_per_subrequest") + number(best, "owner_us_per_subrequest")
    return [
        at_most("p99 ms of the tree", number(best, "p99_ms"), MAX_P99_MS),
        at_most(
            "cores per node at the size to design for", cost * SUBREQUESTS_PER_S_PER_NODE / 1e6, 1.0
        ),
    ]


EXPERIMENT = Experiment(
    "tree", "batched sub-requests through owner instances against one by one", _arms, _targets
)
