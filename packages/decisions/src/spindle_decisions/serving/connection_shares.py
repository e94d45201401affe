"""The share of an upstream's connections that this instance may use."""

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
    """Calculates how many connections this instance may hold to an upstream.

    The connections that the upstream accepts, less `RESERVED_CONNECTIONS`, are
    divided equally among the entry instances that may hold connections. As the
    list of instances lags:

    - an instance that has just started holds one connection per upstream for
      `STARTUP_HOLD_S`, until the others have seen it in the list and reduced
      their shares; `RESERVED_CONNECTIONS` is for such instances;
    - an instance that announced its leave counts for `GROW_DELAY_AFTER_LEAVE_S` more;
    - an instance that disappeared without announcing it may be partitioned away
      and still connected, so it counts for `GROW_DELAY_AFTER_LOSS_S` more.

    A share shrinks without delay. It is one until the first list arrives.
    """

    def __init__(self, own_name: str, started_at: float) -> None:
        self.own_name = own_name
        self.started_at = started_at
        self.others: dict[str, _EntryInstance] = {}
        self.list_received = False

    def update_instances(self, live: dict[str, tuple[int, bool]], now: float) -> None:
        """Apply the list of live entry instances: name to (incarnation, leaving)."""
        self.list_received = True
        for name, (incarnation, leaving) in live.items():
            if name != self.own_name:
                self.others[name] = _EntryInstance(incarnation, leaving)
        for name, instance in self.others.items():
            if name not in live and instance.left_at is None:
                instance.left_at = now

    def sharing_instance_count(self, now: float) -> int:
        """Count the entry instances that may hold connections, this one included."""
        for name in [name for name, instance in self.others.items() if _is_expired(instance, now)]:
            del self.others[name]
        return 1 + len(self.others)

    def is_settled(self, now: float) -> bool:
        """Return whether the others have had time to reduce their shares for this instance."""
        return now - self.started_at >= STARTUP_HOLD_S

    def share_for(self, connections: int, now: float) -> int:
        """Return this instance's share of an upstream that accepts `connections`."""
        if not self.list_received or not self.is_settled(now):
            return 1
        return max(1, (connections - RESERVED_CONNECTIONS) // self.sharing_instance_count(now))


def _is_expired(instance: _EntryInstance, now: float) -> bool:
    if instance.left_at is None:
        return False
    return now - instance.left_at >= (
        GROW_DELAY_AFTER_LEAVE_S if instance.leaving else GROW_DELAY_AFTER_LOSS_S
    )
