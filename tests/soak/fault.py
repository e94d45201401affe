"""A drawn fault."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Fault:
    """Begins `at_s` after the start of its episode and lasts `for_s`; `target` is what it hits."""

    kind: str
    target: str
    start_s: float
    duration_s: float
