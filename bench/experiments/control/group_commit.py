"""The gain of group commit over one sync per claim."""

import dataclasses
from collections.abc import Mapping, Sequence

from bench.deployment import running_deployment
from bench.experiments.arm import Arm
from bench.experiments.context import Context
from bench.experiments.control.claim_client import ClaimClient
from bench.experiments.experiment import Experiment
from bench.experiments.figures import Figures, number
from bench.experiments.target import Target, at_least, at_most
from bench.metrics_reader import read_metrics
from bench.plan import GroupPlan
from bench.plan_builder import build_plan
from spindle_decisions.util.units import MS_PER_S, US_PER_MS

GROUP = GroupPlan("comptoir", 1, 2)
DURATION_S = 15.0
DURATION_SHORT_S = 3.0
MAX_STALL_MS = 100.0
METRIC_STALL = "spindle_loop_longest_stall_seconds"


@dataclasses.dataclass(frozen=True)
class CommitArm:
    """Whether log entries are committed in groups, and the number of concurrent claims."""

    name: str
    group_commit: bool
    open_claims: int


ARMS = (
    CommitArm("grouped-1", True, 1),
    CommitArm("grouped-16", True, 16),
    CommitArm("grouped-64", True, 64),
    CommitArm("one-each-1", False, 1),
    CommitArm("one-each-16", False, 16),
    CommitArm("one-each-64", False, 64),
)


def _run(context: Context, arm: CommitArm) -> Figures:
    duration_s = DURATION_SHORT_S if context.short else DURATION_S
    settings = (("group-commit", "yes" if arm.group_commit else "no"),)
    plan = build_plan((GROUP,), controls=3, entries=1, control_settings=settings)
    with running_deployment(plan, context.folder / arm.name) as deployment:
        leader = deployment.leader()
        client = ClaimClient(deployment, leader)
        read_metrics(deployment.instances[leader].admin_port)
        client.run(duration_s, arm.open_claims)
        stall_s = read_metrics(deployment.instances[leader].admin_port)[METRIC_STALL]
        client.close()
    times = client.times_us
    return {
        "claims_per_s": round(times.get_total_count() / duration_s, 1),
        "p50_ms": times.get_value_at_percentile(50) / US_PER_MS,
        "p99_ms": times.get_value_at_percentile(99) / US_PER_MS,
        "failed": client.failed,
        "longest_loop_stall_ms": round(stall_s * MS_PER_S, 2),
    }


def _arm(context: Context, arm: CommitArm) -> Arm:
    return Arm(arm.name, lambda: _run(context, arm))


def _arms(context: Context) -> Sequence[Arm]:
    return [_arm(context, arm) for arm in ARMS]


def _targets(arms: Mapping[str, Figures]) -> Sequence[Target]:
    gain = number(arms["grouped-64"], "claims_per_s") / number(arms["one-each-64"], "claims_per_s")
    stall = max(number(arms[arm.name], "longest_loop_stall_ms") for arm in ARMS)
    return [
        at_least("claims a second, grouped over one each, 64 open", gain, 1.0),
        at_most("longest loop stall ms", stall, MAX_STALL_MS),
    ]


EXPERIMENT = Experiment(
    "group-commit", "claim latency and rate with grouped and single syncs", _arms, _targets
)
