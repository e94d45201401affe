"""Replicas of all services and the selection among them."""

import math
import random
from collections.abc import Container

from spindle_decisions.routing import const
from spindle_decisions.routing.connection_queue import ConnectionQueue
from spindle_decisions.routing.data_center_reachability import DataCenterReachability
from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.replica import Replica
from spindle_decisions.util.units import MS_PER_S


class ReplicaPool:
    """Tracks the list of upstreams and selects among the replicas of a service.

    An upstream that is listed as draining or no longer listed gets no new requests.
    Requests that are in flight to it continue. The same holds for one that says in its
    answers that it is leaving, and for one that asks for a rest, until that is over.
    """

    def __init__(self, data_center: str, rng: random.Random) -> None:
        self.data_center = data_center
        self.rng = rng
        self.reachability = DataCenterReachability()
        self.connection_queue = ConnectionQueue()
        self.replicas: dict[str, Replica] = {}
        self.by_service: dict[str, list[Replica]] = {}

    def update_upstreams(self, now: float, upstreams: tuple[ListedUpstream, ...]) -> list[Replica]:
        """Apply a newer list and return the replicas that it no longer contains."""
        updated: dict[str, Replica] = {}
        for listed in upstreams:
            replica = self.replicas.get(listed.upstream_id)
            if replica is None or _address_changed(replica.listed, listed):
                replica = Replica(listed)
            replica.update_listed(listed)
            replica.warmed_up_at = now + listed.warmup_ms / MS_PER_S if listed.warmup_ms else 0.0
            updated[listed.upstream_id] = replica
        removed = [
            item for item in self.replicas.values() if updated.get(item.upstream_id) is not item
        ]
        for item in removed:
            item.is_listed = False
        self.replicas = updated
        self.by_service = {}
        for item in updated.values():
            self.by_service.setdefault(item.listed.service, []).append(item)
        return removed

    def select_replica(
        self,
        service: str,
        now: float,
        median_s: float,
        tried: tuple[Replica, ...] = (),
        is_hedge: bool = False,
    ) -> Replica | None:
        """Return the replica with the least expected latency, or `None` if none is free.

        Unhealthy replicas are selected when there is no other, so that a false failure
        signal cannot leave a service without replicas; but not one at whose address another
        upstream answers, which gets requests that are not meant for it. A replica whose
        share of a rate limit is used up is not selected, and one with a rate limit never for
        a hedge: its requests are for those who have no other attempt.
        """
        available = [
            item
            for item in self.by_service.get(service, ())
            if item.is_ready()
            and not item.is_at_connection_limit()
            and not item.is_resting(now)
            and now >= item.misdirected_until
            and item not in tried
        ]
        available = [item for item in available if not _is_withheld(item, now, is_hedge)]
        if not available:
            return None
        healthy = [item for item in available if self.is_healthy(item, now)]
        return min(healthy or available, key=lambda item: self.score(item, now, median_s))

    def connection_wait_s(
        self, service: str, now: float, median_s: float, tried: tuple[Replica, ...] = ()
    ) -> float:
        """Return the expected wait in seconds for a connection to a service.

        It is infinite if no replica is at its limit only for now: a replica that is
        ejected, unreachable or has a stalled request frees no connection soon.
        """
        busy_slots = sum(
            min(item.connection_share, item.listed.slots)
            for item in self.by_service.get(service, ())
            if item.is_ready()
            and item not in tried
            and item.is_at_connection_limit()
            and not item.is_rate_limited(now)
            and not item.is_resting(now)
            and self.is_healthy(item, now)
            and not item.stalled_s(now, median_s * item.latency_factor(now))
        )
        if not busy_slots:
            return math.inf
        return (self.connection_queue.length(service) + 1) * median_s / busy_slots

    def is_healthy(self, replica: Replica, now: float) -> bool:
        """Return whether a replica is not ejected and its data centre is reachable."""
        unreachable = self.reachability.is_unreachable(replica.listed.data_center, now)
        return not unreachable and not replica.is_ejected(now)

    def healthy_count(self, service: str, now: float, answered_after: float) -> int:
        """Return the number of healthy replicas of a service that answered after a time."""
        return sum(
            item.is_ready() and self.is_healthy(item, now) and item.answered_at >= answered_after
            for item in self.by_service.get(service, ())
        )

    def is_service_reachable(self, service: str, now: float) -> bool:
        """Return whether any replica of a service is ready and not known as unreachable."""
        return any(
            item.is_ready()
            and now >= item.unreachable_until
            and not self.reachability.is_unreachable(item.listed.data_center, now)
            for item in self.by_service.get(service, ())
        )

    def is_service_rate_limited(self, service: str, now: float) -> bool:
        """Return whether a usable replica of a service is only withheld by its rate limit."""
        return any(
            item.is_ready() and item.is_rate_limited(now)
            for item in self.by_service.get(service, ())
        )

    def rest_left_s(self, service: str, now: float) -> float:
        """Return the seconds until the first replica of a service that only rests takes requests.

        Returns 0 if none of its usable replicas rests.
        """
        rests = [
            item.resting_until - now
            for item in self.by_service.get(service, ())
            if item.is_ready() and item.is_resting(now)
        ]
        return min(rests, default=0.0)

    def is_isolated(self, now: float) -> bool:
        """Return whether all other data centres that have upstreams are unreachable."""
        others = {
            item.listed.data_center
            for item in self.replicas.values()
            if item.listed.data_center != self.data_center
        }
        return self.reachability.all_unreachable(others, now)

    def record_no_response(
        self, replica: Replica, now: float, waited_s: float, median_s: float
    ) -> None:
        """Record that a request was abandoned after `waited_s` without a response.

        From `NO_RESPONSE_TIMEOUT_S` on it counts as a failure to reach the data centre.
        """
        replica.record_abandoned(now, waited_s, median_s)
        if waited_s >= const.NO_RESPONSE_TIMEOUT_S:
            self.reachability.record_connect_failure(
                replica.listed.data_center, replica.upstream_id, now
            )

    def record_success(
        self, replica: Replica, now: float, latency_s: float, median_s: float
    ) -> None:
        """Record a good answer of a replica and its latency in seconds."""
        replica.record_success(now, latency_s, median_s)
        self.reachability.record_success(replica.listed.data_center)

    def record_connect_failure(self, replica: Replica, now: float) -> None:
        """Record that no connection to a replica could be opened."""
        replica.record_connect_failure(now)
        self.reachability.record_connect_failure(
            replica.listed.data_center, replica.upstream_id, now
        )

    def score(self, replica: Replica, now: float, median_s: float) -> float:
        """Return the expected latency in seconds, weighted by locality, with 3% of jitter."""
        is_local = replica.listed.data_center == self.data_center
        factor = 1.0 if is_local else const.REMOTE_DATA_CENTER_FACTOR
        return replica.expected_latency_s(now, median_s) * factor * self.rng.uniform(0.97, 1.03)

    def divide_connections(
        self,
        max_connections: dict[str, int],
        sharers: int,
        only_services: Container[str] | None = None,
    ) -> None:
        """Set the number of connections that this instance may hold to each replica.

        `max_connections` maps a service to the connections of one replica, for all
        `sharers` together. With `only_services`, replicas of other services keep their
        share.
        """
        for item in self.replicas.values():
            if only_services is not None and item.listed.service not in only_services:
                continue
            shared_connections = (
                max_connections.get(item.listed.service, sharers) * const.SHARED_CONNECTION_RATIO
            )
            item.connection_share = max(1, int(shared_connections / max(1, sharers)))

    def divide_rate_limits(self, sharers: int, owned: Container[str], owners: int) -> None:
        """Set how many instances share a rate limit: `owners` for the services in `owned`."""
        for item in self.replicas.values():
            item.divide_rate_limit(owners if item.listed.service in owned else sharers)


def _is_withheld(replica: Replica, now: float, is_hedge: bool) -> bool:
    limit = replica.rate_limit
    if limit is None or (limit.has_token(now) and not is_hedge):
        return False
    limit.skipped_count += 1
    return True


def _address_changed(old: ListedUpstream, new: ListedUpstream) -> bool:
    return (old.service, old.host, old.port) != (new.service, new.host, new.port)
