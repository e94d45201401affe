"""The action that cancels a sub-request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSubRequest:
    """Cancel a sub-request by closing its connection."""

    attempt: int
