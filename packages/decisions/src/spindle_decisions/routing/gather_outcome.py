"""Outcome of a scatter-gather request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GatherOutcome:
    """Why a request ended and whether enough parts arrived for an answer.

    `reason` is `whole` (all parts arrived), `aim` (enough parts at the aim), `settled`
    (enough parts, and no further one can arrive), `doomed` (too few parts can still
    arrive), `silent` (owners of the missing shards do not respond) or `deadline`.
    """

    reason: str
    answered: bool
