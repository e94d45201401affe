"""All upstreams that this instance knows, by service."""

import random
from collections.abc import Container

from spindle_decisions.routing import const
from spindle_decisions.routing.data_center_reachability import DataCenterReachability
from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.replica import Replica
from spindle_decisions.util.units import MS_PER_S


class ReplicaPool:
    """Follows the list of upstreams and chooses among those of a service.

    An upstream that the list shows as draining, or no longer shows, gets no new
    request from then on. One that left the list and is still answering is kept
    until its requests have ended.
    """

    def __init__(self, data_center: str, rng: random.Random) -> None:
        self.data_center = data_center
        self.rng = rng
        self.watch = DataCenterReachability()
        self.replicas: dict[str, Replica] = {}
        self.by_service: dict[str, list[Replica]] = {}

    def take_list(self, now: float, upstreams: tuple[ListedUpstream, ...]) -> list[Replica]:
        """Take a newer list and return the replicas that it no longer holds."""
        fresh: dict[str, Replica] = {}
        for listed in upstreams:
            known = self.replicas.get(listed.upstream_id)
            if known is None or _moved(known.listed, listed):
                known = Replica(listed)
            known.listed = listed
            known.warm_at = now + listed.warmup_ms / MS_PER_S if listed.warmup_ms else 0.0
            fresh[listed.upstream_id] = known
        gone = [item for item in self.replicas.values() if fresh.get(item.upstream_id) is not item]
        for item in gone:
            item.listed_now = False
        self.replicas = fresh
        self.by_service = {}
        for item in fresh.values():
            self.by_service.setdefault(item.listed.service, []).append(item)
        return gone

    def choose(
        self, service: str, now: float, usual_s: float, tried: tuple[Replica, ...] = ()
    ) -> Replica | None:
        """Return the upstream that is expected to answer first, or `None` if there is none.

        Ejected ones are taken when there is no other, so that a wrong signal cannot
        empty a service.
        """
        usable = [
            item
            for item in self.by_service.get(service, ())
            if item.usable() and not item.full() and item not in tried
        ]
        if not usable:
            return None
        sound = [item for item in usable if self.sound(item, now)]
        return min(sound or usable, key=lambda item: self.score(item, now, usual_s))

    def sound(self, replica: Replica, now: float) -> bool:
        """Return whether nothing speaks against an upstream just now."""
        dark = self.watch.is_dark(replica.listed.data_center, now)
        return not dark and not replica.ejected(now)

    def reachable(self, service: str, now: float) -> bool:
        """Return whether some upstream of a service may be reached as far as is known."""
        return any(
            item.usable()
            and now >= item.cut_until
            and not self.watch.is_dark(item.listed.data_center, now)
            for item in self.by_service.get(service, ())
        )

    def cut_off(self, now: float) -> bool:
        """Return whether no other data centre that has upstreams can be reached."""
        others = {
            item.listed.data_center
            for item in self.replicas.values()
            if item.listed.data_center != self.data_center
        }
        return self.watch.all_dark(others, now)

    def silent(self, replica: Replica, now: float, waited_s: float, usual_s: float) -> None:
        """Take in that nothing came back for so long, and that nobody waits any more."""
        replica.overtaken(now, waited_s, usual_s)
        if waited_s >= const.NO_RESPONSE_TIMEOUT_S:
            self.watch.unreachable(replica.listed.data_center, replica.upstream_id, now)

    def answered(self, replica: Replica, now: float, took_s: float, usual_s: float) -> None:
        """Take in a good answer of an upstream."""
        replica.answered(now, took_s, usual_s)
        self.watch.answered(replica.listed.data_center)

    def unreachable(self, replica: Replica, now: float) -> None:
        """Take in that no connection to an upstream came about."""
        replica.unreachable(now)
        self.watch.unreachable(replica.listed.data_center, replica.upstream_id, now)

    def score(self, replica: Replica, now: float, usual_s: float) -> float:
        """Return the expected time in seconds, with locality and a little chance."""
        near = replica.listed.data_center == self.data_center
        factor = 1.0 if near else const.REMOTE_DATA_CENTER_FACTOR
        return replica.expected_s(now, usual_s) * factor * self.rng.uniform(0.97, 1.03)

    def share_connections(
        self, bounds: dict[str, int], instances: int, only: Container[str] | None = None
    ) -> None:
        """Give each upstream the share of its connections that this instance may hold.

        `bounds` has the connections of one upstream of a service for all instances;
        with `only` the upstreams of other services keep what they have.
        """
        for item in self.replicas.values():
            if only is not None and item.listed.service not in only:
                continue
            most = bounds.get(item.listed.service, instances) * const.SHARED_CONNECTION_RATIO
            item.connection_share = max(1, int(most / max(1, instances)))


def _moved(old: ListedUpstream, new: ListedUpstream) -> bool:
    return (old.service, old.host, old.port) != (new.service, new.host, new.port)
