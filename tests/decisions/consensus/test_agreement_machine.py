"""Nodes under random faults against the oracle."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.decisions.consensus.world import World

MIN_STEPS = 2000
CHANCES = st.sampled_from([0.0, 0.0, 0.1, 0.5, 0.9])


class AgreementMachine(RuleBasedStateMachine):
    """Rules name the acts; the world checks after each, and at the end that it converges."""

    steps = 0

    @initialize(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**16))
    def start(self, size: int, seed: int) -> None:
        self.world = World(size, seed)

    def act(self, name: str, *arguments: object) -> None:
        type(self).steps += 1
        getattr(self.world, name)(*arguments)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5]))
    def run_for(self, seconds: float) -> None:
        self.act("run_for", seconds)

    @rule(seconds=st.sampled_from([0.1, 1.5, 3.0]))
    def calm(self, seconds: float) -> None:
        self.act("calm", seconds)

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.3]))
    def advance(self, seconds: float) -> None:
        self.act("advance", seconds)

    @rule(count=st.integers(1, 8))
    def deliver_some(self, count: int) -> None:
        self.act("deliver_some", count)

    @rule(loss=CHANCES, message_delay=CHANCES, sync_delay=CHANCES)
    def set_faults(self, loss: float, message_delay: float, sync_delay: float) -> None:
        self.act("set_faults", loss, message_delay, sync_delay)

    @rule(count=st.integers(1, 12))
    def propose(self, count: int) -> None:
        self.act("propose_some", count)

    @rule(seconds=st.sampled_from([0.5, 3.0, 100.0]))
    def jump_clock(self, seconds: float) -> None:
        self.act("jump_clock", seconds)

    @rule(name=st.sampled_from(["deliver_one", "drop_one", "duplicate_one", "sync_one"]))
    def single(self, name: str) -> None:
        self.act(name)

    @rule(name=st.sampled_from(["cut_one_way", "isolate", "isolate_leader", "split", "heal"]))
    def cut(self, name: str) -> None:
        self.act(name)

    @rule(name=st.sampled_from(["crash_any", "crash_leader", "restart", "freeze", "wake"]))
    def process(self, name: str) -> None:
        self.act(name)

    @rule(name=st.sampled_from(["lose_disk", "crash_leader_and_lose_its_batch", "compact"]))
    def disk(self, name: str) -> None:
        self.act(name)

    @rule(name=st.sampled_from(["read_one", "remove_one", "add_one"]))
    def ask(self, name: str) -> None:
        self.act(name)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.heal_and_converge()


class TestAgreement(AgreementMachine.TestCase):  # type: ignore[misc, name-defined]
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
        self.assertGreaterEqual(AgreementMachine.steps, MIN_STEPS)
