"""Settings of the messages between processes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class MeshSettings:
    """Where the process listens, and the address that it gives to others.

    Both have the form `tcp://127.0.0.1:7000`.
    """

    listen: str
    advertise: str
