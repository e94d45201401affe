"""How a gathered request ends."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GatherOutcome:
    """The reason of the end and whether enough parts are in for an answer.

    `reason` is `whole`, `aim`, `settled`, `doomed` or `deadline`.
    """

    reason: str
    answered: bool
