"""The trial of the batched tree against sub-requests sent one by one."""

from collections.abc import Mapping, Sequence

from bench.experiments.arm import Arm
from bench.experiments.capacity.subrequest_trial import subrequest_http
from bench.experiments.capacity.tree_trial import TreeTrial
from bench.experiments.context import Context
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_most

QUERIES_PER_WINDOW = (1, 2, 5, 10)
SECONDS = 10.0
SECONDS_SHORT = 3.0
P99_BOUND_MS = 330.0
NEEDED_PER_NODE = 94_000 * 1_300 / 400


def _arm(context: Context, queries: int) -> Arm:
    name = f"tree-{queries}"
    seconds = SECONDS_SHORT if context.short else SECONDS
    return Arm(name, lambda: TreeTrial(context.folder / name, queries).run(seconds))


def _arms(context: Context) -> Sequence[Arm]:
    one_by_one = Arm("one-by-one", lambda: subrequest_http(context.folder))
    return [one_by_one, *(_arm(context, queries) for queries in QUERIES_PER_WINDOW)]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    best = arms[f"tree-{QUERIES_PER_WINDOW[-1]}"]
    cost = number(best, "sender_us_per_subrequest") + number(best, "owner_us_per_subrequest")
    return [
        at_most("p99 ms of the tree", number(best, "p99_ms"), P99_BOUND_MS),
        at_most("cores per node at the size to design for", cost * NEEDED_PER_NODE / 1e6, 1.0),
    ]


EXPERIMENT = Experiment(
    "tree", "batched sub-requests through owner instances against one by one", _arms, _targets
)
