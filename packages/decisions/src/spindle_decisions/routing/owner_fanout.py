"""State machine of a scatter-gather request through shard owners."""

from collections.abc import Container

from spindle_decisions.routing import const
from spindle_decisions.routing.gather_outcome import GatherOutcome
from spindle_decisions.routing.owner_request import OwnerRequest
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.shard_owners import shard_indexes_by_owner
from spindle_decisions.routing.upstream_attempt import next_attempt_id
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance


class OwnerFanout:
    """Asks the owner of each shard and records which owners are unresponsive.

    Within a request no other owner is asked for the shards of an unresponsive one: it
    is unknown which upstreams that one has asked, and both together could ask more
    upstreams than the route allows. Later requests skip the unresponsive owner. A
    request that lacks only the parts of silent owners ends before its deadline, while
    its caller can still try another instance.

    Shortly before the aim an owner responds with the shards that have answered, and then
    with those that answer later, until it is told that the request has ended. Once all
    owners have responded and the least share is reached, the request ends: waiting for
    single parts until the aim would make many answers late. `finished_shards`
    counts the shards of the owners that have sent their last response,
    `answered_shards` the shards for which an upstream answered.
    """

    def __init__(
        self, route: Route, peers: tuple[FleetInstance, ...], now: float, limit_s: float
    ) -> None:
        self.route = route
        self.peers = peers
        aim_s = route.aim_ms / MS_PER_S
        margin_s = const.RESPONSE_MARGIN_S + const.RESPONSE_MARGIN_PER_SHARD_S * len(route.shards)
        self.aim_at = now + max(0.0, aim_s - margin_s)
        self.owner_timeout_at = max(now, self.aim_at - const.OWNER_CHECK_LEAD_S)
        self.give_up_at = (
            max(self.aim_at, self.owner_timeout_at + const.OWNER_SILENCE_S)
            + const.OWNER_CHECK_MAX_DELAY_S
        )
        self.end_at = now + limit_s
        self.finished_shards = 0
        self.responses: list[OwnerResponse] = []
        self.answered_shards = 0
        self.in_flight: dict[int, OwnerRequest] = {}
        # Number of the newest response by request token.
        self.responded: dict[int, int] = {}
        self.unresponsive: set[str] = set()
        self.timeout_checked = False
        self.silence_checked = False
        self.outcome: GatherOutcome | None = None

    def start(self) -> list[OwnerRequest]:
        """Return one request for each owner."""
        indexes_by_owner = shard_indexes_by_owner(enumerate(self.route.shards), self.peers)
        requests = [
            OwnerRequest(next_attempt_id(), owner, shard_indexes)
            for owner, shard_indexes in indexes_by_owner.items()
        ]
        self.in_flight.update({request.request_token: request for request in requests})
        return requests

    def on_owner_response(self, request_token: int, response: OwnerResponse, now: float) -> None:
        """Store a response of an owner, unless it has been stored before."""
        if response.number <= self.responded.get(request_token, -1):
            return
        self.responded[request_token] = response.number
        if not response.more:
            self.finished_shards += len(self.in_flight.pop(request_token).shard_indexes)
        self.responses.append(response)
        self.answered_shards += len(response.signatures)
        self._update_outcome(now)

    def tick(self, now: float) -> None:
        """Update the outcome and the unresponsive owners for the time `now`."""
        if not self.timeout_checked and now >= self.owner_timeout_at:
            self.timeout_checked = True
            if now <= self.owner_timeout_at + const.OWNER_CHECK_MAX_DELAY_S:
                self.unresponsive = {
                    request.owner.name
                    for token, request in self.in_flight.items()
                    if token not in self.responded
                }
        self._update_outcome(now)

    def check_silence(self, silent: Container[str], now: float) -> None:
        """At `give_up_at`, end the request if only parts of `silent` owners are missing."""
        if self.silence_checked or now < self.give_up_at or self.outcome is not None:
            return
        self.silence_checked = True
        if all(request.owner.name in silent for request in self.in_flight.values()):
            self.outcome = GatherOutcome("silent", self._has_enough())

    def next_tick_at(self) -> float:
        """Return the time of the next call of `tick`."""
        times = [self.end_at]
        if not self.timeout_checked:
            times.append(self.owner_timeout_at)
        if not self.silence_checked:
            times.append(self.give_up_at)
        if self._has_enough():
            times.append(self.aim_at)
        return min(times)

    def _all_responded(self) -> bool:
        return all(token in self.responded for token in self.in_flight)

    def _has_enough(self) -> bool:
        return self.answered_shards >= self.route.min_parts()

    def _update_outcome(self, now: float) -> None:
        if self.outcome is not None:
            return
        if self.finished_shards == len(self.route.shards):
            is_complete = self.answered_shards == len(self.route.shards)
            self.outcome = GatherOutcome("whole" if is_complete else "settled", self._has_enough())
        elif self._has_enough() and (now >= self.aim_at or self._all_responded()):
            self.outcome = GatherOutcome("aim", True)
        elif now >= self.end_at:
            self.outcome = GatherOutcome("deadline", self._has_enough())
