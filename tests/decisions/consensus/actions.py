"""Table of the random actions of the state machine test and the soak run."""

import dataclasses
import itertools

FAULT_PROBABILITIES = (0.0, 0.1, 0.5, 0.9)


@dataclasses.dataclass(frozen=True)
class Action:
    """A method of `SimulatedCluster` and its arguments."""

    name: str
    arguments: tuple[float, ...] = ()


# Weight of an action, its method name, and the possible values of each argument.
ACTION_TABLE: tuple[tuple[int, str, tuple[tuple[float, ...], ...]], ...] = (
    (24, "run_for", ((0.1, 0.5, 1.5),)),
    (12, "end_faults", ((0.1, 1.5, 3.0),)),
    (3, "advance", ((0.02, 0.3, 1.3),)),
    (4, "deliver_some", ((1, 2, 4, 8),)),
    (6, "deliver_one", ()),
    (3, "drop_one", ()),
    (4, "duplicate_one", ()),
    (4, "set_faults", (FAULT_PROBABILITIES, FAULT_PROBABILITIES, FAULT_PROBABILITIES)),
    (2, "cut_one_way", ()),
    (2, "isolate", ()),
    (4, "isolate_leader", ()),
    (3, "split", ()),
    (8, "heal", ()),
    (4, "sync_one", ()),
    (3, "crash_any", ()),
    (3, "crash_leader", ()),
    (3, "crash_leader_and_lose_its_batch", ()),
    (8, "restart", ()),
    (2, "lose_disk", ()),
    (2, "suspend", ()),
    (5, "resume", ()),
    (1, "jump_clock", ((0.5, 3.0, 100.0),)),
    (1, "jump_clocks_of_followers", ((1.0, 3.0),)),
    (3, "compact", ()),
    (16, "propose_some", ((1, 2, 4, 12),)),
    (12, "read_one", ()),
    (1, "remove_one", ()),
    (1, "add_one", ()),
)
WEIGHTS = tuple(weight for weight, _, _ in ACTION_TABLE)
VARIANTS = tuple(
    tuple(Action(name, arguments) for arguments in itertools.product(*choices))
    for _, name, choices in ACTION_TABLE
)
