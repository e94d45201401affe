"""An attempt that waits for a connection."""

import dataclasses


@dataclasses.dataclass
class WaitingAttempt:
    """Cause of the attempt, and whether it replaces one of which no byte was sent.

    `notified` is set when a connection is free and the attempt can be started.
    """

    cause: str
    is_replacement: bool
    notified: bool = False
