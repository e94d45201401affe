"""The service model."""

import msgspec

FIRST_EPOCH = 1


class Service(msgspec.Struct, frozen=True):
    """One shard of a group, served by one or more replicas (upstreams).

    A service belongs to the partition epochs `first_epoch` to `last_epoch`, both
    included. `last_epoch` is `None` if the service has not been retired.
    """

    name: str
    group: str
    first_epoch: int = FIRST_EPOCH
    last_epoch: int | None = None

    def in_epoch(self, epoch: int) -> bool:
        """Return whether the service belongs to the partition epoch."""
        if epoch < self.first_epoch:
            return False
        return self.last_epoch is None or epoch <= self.last_epoch
