"""Shares of the connections that an upstream accepts."""

import dataclasses

JOIN_RESERVE = 3
SETTLE_S = 4.0
GROW_AFTER_LEAVE_S = 3.0
GROW_AFTER_LOSS_S = 30.0


@dataclasses.dataclass
class _Seen:
    incarnation: int
    leaving: bool
    gone_at: float | None = None


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

    def __init__(self, me: str, started_at: float) -> None:
        self.me = me
        self.started_at = started_at
        self.others: dict[str, _Seen] = {}
        self.heard = False

    def heard_of(self, live: dict[str, tuple[int, bool]], now: float) -> None:
        """Take in the list of live entry instances: incarnation and leaving, by name."""
        self.heard = True
        for name, (incarnation, leaving) in live.items():
            if name != self.me:
                self.others[name] = _Seen(incarnation, leaving)
        for name, seen in self.others.items():
            if name not in live and seen.gone_at is None:
                seen.gone_at = now

    def counted(self, now: float) -> int:
        """Return how many entry instances may hold connections, this one included."""
        for name in [name for name, seen in self.others.items() if _forgotten(seen, now)]:
            del self.others[name]
        return 1 + len(self.others)

    def settled(self, now: float) -> bool:
        """Tell whether the others have had the time to hear of this instance and shrink."""
        return now - self.started_at >= SETTLE_S

    def share_of(self, connections: int, now: float) -> int:
        """Return the share of an upstream that accepts so many connections."""
        if not self.heard or not self.settled(now):
            return 1
        return max(1, (connections - JOIN_RESERVE) // self.counted(now))


def _forgotten(seen: _Seen, now: float) -> bool:
    if seen.gone_at is None:
        return False
    return now - seen.gone_at >= (GROW_AFTER_LEAVE_S if seen.leaving else GROW_AFTER_LOSS_S)
