"""Report that an owner of shards did not respond."""

import msgspec


class OwnerSuspicion(msgspec.Struct, frozen=True, tag="owner-suspicion"):
    """The name of an owner that did not respond to its sender in time."""

    owner: str
