"""Owners of shards that did not respond, and the probes that show whether they live."""

import dataclasses
from collections.abc import Iterable

from spindle_decisions.routing import const
from spindle_decisions.wire.fleet_instance import FleetInstance


@dataclasses.dataclass
class SuspectedOwner:
    """Since when an owner is suspected, when it is probed next, and the pause after that.

    `is_silent` is set once it has answered no probe for `OWNER_SILENCE_S`.
    """

    suspected_at: float
    next_probe_at: float
    pause_s: float = const.OWNER_PROBE_MIN_PAUSE_S
    is_silent: bool = False


class OwnerLiveness:
    """Tracks which owners are not asked because they did not respond.

    A suspected owner is probed at once and then with growing pauses, and it is asked
    again after any reply. So a suspicion that is wrong, like that of an instance that
    was itself paused, costs one probe; and no request of a caller is spent on finding
    out whether an owner is back. An owner that is only slow replies; one that answers no
    probe for `OWNER_SILENCE_S` is silent. Example:

        liveness.suspect("front-2", now)
        for name in liveness.due_probes(now): ...
        for name in liveness.newly_silent(now): ...
        liveness.record_reply("front-2")
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
        self.suspected[name] = SuspectedOwner(now, now)
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

    def newly_silent(self, now: float) -> list[str]:
        """Return the owners that have been found silent since the last call."""
        names = [
            name
            for name, item in self.suspected.items()
            if not item.is_silent and now - item.suspected_at >= const.OWNER_SILENCE_S
        ]
        for name in names:
            self.suspected[name].is_silent = True
        return names

    def silent(self) -> frozenset[str]:
        """Return the names of the silent owners."""
        return frozenset(name for name, item in self.suspected.items() if item.is_silent)

    def record_reply(self, name: str) -> bool:
        """Record any reply of an owner; return whether it was silent until now."""
        item = self.suspected.pop(name, None)
        return item is not None and item.is_silent

    def retain(self, names: Iterable[str]) -> None:
        """Forget the suspicions of all other owners, which are no longer peers."""
        kept = set(names)
        self.suspected = {name: item for name, item in self.suspected.items() if name in kept}
