"""Owners of shards that did not respond, and the probes that show whether they are back."""

import dataclasses
from collections.abc import Iterable

from spindle_decisions.routing import const
from spindle_decisions.wire.fleet_instance import FleetInstance


@dataclasses.dataclass
class SuspectedOwner:
    """When an owner that did not respond is probed next, and the pause after that."""

    next_probe_at: float
    pause_s: float = const.OWNER_PROBE_MIN_PAUSE_S


class OwnerLiveness:
    """Tracks which owners are not asked because they did not respond.

    A suspected owner is probed at once and then with growing pauses. It is asked again
    once it has answered a probe promptly. So a suspicion that is wrong, like that of an
    instance that was itself paused, costs one probe; and no request of a caller is spent
    on finding out whether an owner is back. Example:

        liveness.suspect("front-2", now)
        for name in liveness.due_probes(now): ...
        liveness.record_probe_reply("front-2", took_s=0.002)
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.suspected: dict[str, SuspectedOwner] = {}

    def usable(self, peers: tuple[FleetInstance, ...]) -> tuple[FleetInstance, ...]:
        """Return the peers that are not suspected."""
        return tuple(peer for peer in peers if peer.name not in self.suspected)

    def suspect(self, name: str, now: float) -> bool:
        """Suspect an owner; return whether that is new. This instance is never suspected."""
        if name == self.own_name or name in self.suspected:
            return False
        self.suspected[name] = SuspectedOwner(now)
        return True

    def due_probes(self, now: float) -> list[str]:
        """Return the owners to probe now, and set the time of the next probe of each."""
        due = [name for name, item in self.suspected.items() if now >= item.next_probe_at]
        for name in due:
            item = self.suspected[name]
            item.next_probe_at = now + item.pause_s
            item.pause_s = min(2 * item.pause_s, const.OWNER_PROBE_MAX_PAUSE_S)
        return due

    def next_probe_at(self) -> float | None:
        """Return the time of the next probe; `None` if no owner is suspected."""
        return min((item.next_probe_at for item in self.suspected.values()), default=None)

    def record_probe_reply(self, name: str, took_s: float) -> bool:
        """Record the reply to a probe; return whether the owner is trusted again by it."""
        if took_s > const.OWNER_PROBE_TIMEOUT_S:
            return False
        return self.suspected.pop(name, None) is not None

    def retain(self, names: Iterable[str]) -> None:
        """Forget the suspicions of all other owners, which are no longer peers."""
        kept = set(names)
        self.suspected = {name: item for name, item in self.suspected.items() if name in kept}
