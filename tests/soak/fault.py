"""A drawn fault."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Fault:
    """Begins `at_s` after the start of its episode and lasts `for_s`; `target` is what it hits."""

    kind: str
    target: str
    at_s: float
    for_s: float
