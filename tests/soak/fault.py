"""A fault of an episode."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Fault:
    """Starts `start_s` after its episode and lasts `duration_s`; `target` names what it affects."""

    kind: str
    target: str
    start_s: float
    duration_s: float
