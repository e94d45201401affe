"""The decisions of a gathered request whose shards belong to owners."""

from spindle_decisions.routing import const
from spindle_decisions.routing.gather_execution import min_parts
from spindle_decisions.routing.gather_outcome import GatherOutcome
from spindle_decisions.routing.owner_request import OwnerRequest
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.shard_owners import shard_indexes_by_owner
from spindle_decisions.routing.upstream_attempt import next_attempt_id
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance


class OwnerFanout:
    """Asks the owner of each shard and notes which owners are silent.

    Another owner is not asked for the same shards in the same request: nobody knows
    then which upstreams the silent one has asked, and the two together could ask more
    of them than the route allows. The next request leaves the silent one out.
    """

    def __init__(
        self, route: Route, peers: tuple[FleetInstance, ...], now: float, limit_s: float
    ) -> None:
        self.route = route
        self.peers = peers
        aim_s = route.aim_ms / MS_PER_S
        self.aim_at = now + max(0.0, aim_s - const.RESPONSE_MARGIN_S)
        self.patience_at = now + const.OWNER_TIMEOUT_RATIO * aim_s
        self.end_at = now + limit_s
        self.covered = 0
        self.parts: list[OwnerResponse] = []
        self.answered = 0
        self.out: dict[int, OwnerRequest] = {}
        self.silent: set[str] = set()
        self.looked = False
        self.end: GatherOutcome | None = None

    def start(self) -> list[OwnerRequest]:
        """Return the first asks."""
        groups = shard_indexes_by_owner(enumerate(self.route.shards), self.peers)
        asks = [OwnerRequest(next_attempt_id(), owner, places) for owner, places in groups.items()]
        self.out.update({ask.token: ask for ask in asks})
        return asks

    def answer(self, token: int, part: OwnerResponse, now: float) -> None:
        """Take in what an owner brought."""
        self.covered += len(self.out.pop(token).places)
        self.parts.append(part)
        self.answered += len(part.signatures)
        self._judge(now)

    def tick(self, now: float) -> None:
        """Let time pass."""
        if not self.looked and now >= self.patience_at:
            self.looked = True
            self.silent = {ask.owner.name for ask in self.out.values()}
        self._judge(now)

    def wake_at(self) -> float:
        """Return the time of the next `tick`."""
        waits = [self.end_at]
        if not self.looked:
            waits.append(self.patience_at)
        if self._enough():
            waits.append(self.aim_at)
        return min(waits)

    def _enough(self) -> bool:
        return self.answered >= min_parts(self.route)

    def _judge(self, now: float) -> None:
        if self.end is not None:
            return
        if self.covered == len(self.route.shards):
            whole = self.answered == len(self.route.shards)
            self.end = GatherOutcome("whole" if whole else "settled", self._enough())
        elif self._enough() and now >= self.aim_at:
            self.end = GatherOutcome("aim", True)
        elif now >= self.end_at:
            self.end = GatherOutcome("deadline", self._enough())
