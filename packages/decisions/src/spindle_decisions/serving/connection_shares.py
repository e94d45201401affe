"""Shares of the connections that an upstream accepts."""

import dataclasses

RESERVED_CONNECTIONS = 3
STARTUP_HOLD_S = 4.0
GROW_DELAY_AFTER_LEAVE_S = 3.0
GROW_DELAY_AFTER_LOSS_S = 30.0


@dataclasses.dataclass
class _EntryInstance:
    incarnation: int
    leaving: bool
    left_at: float | None = None


class ConnectionShares:
    """How many connections this instance may hold to an upstream.

    The cap of the upstream, less a reserve, is divided by the entry instances
    that may hold connections. The list of instances lags, so:

    - an instance that has just started holds one connection per upstream for
      `SETTLE_S`, until the others have heard of it and shrunk; the reserve has
      room for `JOIN_RESERVE` such instances;
    - an instance that left as told counts for `GROW_AFTER_LEAVE_S` more;
    - one that vanished without a word may be cut off and still connected, so it
      counts for `GROW_AFTER_LOSS_S` more.

    Shrinking is at once. Before the first list the share is one.
    """

    def __init__(self, own_name: str, started_at: float) -> None:
        self.own_name = own_name
        self.started_at = started_at
        self.others: dict[str, _EntryInstance] = {}
        self.list_received = False

    def update_instances(self, live: dict[str, tuple[int, bool]], now: float) -> None:
        """Take in the list of live entry instances: incarnation and leaving, by name."""
        self.list_received = True
        for name, (incarnation, leaving) in live.items():
            if name != self.own_name:
                self.others[name] = _EntryInstance(incarnation, leaving)
        for name, instance in self.others.items():
            if name not in live and instance.left_at is None:
                instance.left_at = now

    def sharing_instance_count(self, now: float) -> int:
        """Return how many entry instances may hold connections, this one included."""
        for name in [name for name, instance in self.others.items() if _is_expired(instance, now)]:
            del self.others[name]
        return 1 + len(self.others)

    def is_settled(self, now: float) -> bool:
        """Tell whether the others have had the time to hear of this instance and shrink."""
        return now - self.started_at >= STARTUP_HOLD_S

    def share_for(self, connections: int, now: float) -> int:
        """Return the share of an upstream that accepts so many connections."""
        if not self.list_received or not self.is_settled(now):
            return 1
        return max(1, (connections - RESERVED_CONNECTIONS) // self.sharing_instance_count(now))


def _is_expired(instance: _EntryInstance, now: float) -> bool:
    if instance.left_at is None:
        return False
    return now - instance.left_at >= (
        GROW_DELAY_AFTER_LEAVE_S if instance.leaving else GROW_DELAY_AFTER_LOSS_S
    )
