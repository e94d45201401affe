"""Settings of the messaging between processes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MeshSettings:
    """The address that the process listens on, and the one it advertises to others.

    Both have the form `tcp://127.0.0.1:7000`.
    """

    listen: str
    advertise: str
