"""Raft nodes under random faults against the invariant checker."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.decisions.consensus.actions import VARIANTS, WEIGHTS, Action
from tests.decisions.consensus.simulated_cluster import SimulatedCluster

MIN_STEPS = 2000
WEIGHTED_ACTIONS = st.sampled_from(
    [variants for weight, variants in zip(WEIGHTS, VARIANTS, strict=True) for _ in range(weight)]
).flatmap(st.sampled_from)


class RaftMachine(RuleBasedStateMachine):
    """Performs random actions with invariant checks, and checks convergence at the end."""

    steps = 0

    @initialize(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**16))
    def start(self, size: int, seed: int) -> None:
        self.cluster = SimulatedCluster(size, seed)

    @rule(action=WEIGHTED_ACTIONS)
    def perform(self, action: Action) -> None:
        type(self).steps += 1
        self.cluster.perform(action)

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.heal_and_converge()


class TestRaftMachine(RaftMachine.TestCase):  # type: ignore[misc, name-defined]
    """Many short runs; `tests.decisions.consensus.soak` runs more."""

    settings = settings(
        max_examples=50,
        stateful_step_count=50,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )

    def tearDown(self) -> None:
        super().tearDown()
        self.assertGreaterEqual(RaftMachine.steps, MIN_STEPS)
