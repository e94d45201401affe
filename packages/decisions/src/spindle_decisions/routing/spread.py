"""The decisions of a gathered request whose shards belong to owners."""

from spindle_decisions.routing import const
from spindle_decisions.routing.gather import least_parts
from spindle_decisions.routing.gather_end import GatherEnd
from spindle_decisions.routing.part_send import next_token
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.shard_owners import group_by_owner
from spindle_decisions.routing.spread_ask import SpreadAsk
from spindle_decisions.routing.spread_part import SpreadPart
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance


class Spread:
    """Asks the owner of each shard, and the next one when an owner is silent.

    An owner merges what its shards answered, so an answer counts as a whole or not
    at all: one that covers a shard which is covered already is left out.
    """

    def __init__(
        self, route: Route, peers: tuple[FleetInstance, ...], now: float, limit_s: float
    ) -> None:
        self.route = route
        self.peers = peers
        aim_s = route.aim_ms / MS_PER_S
        self.aim_at = now + max(0.0, aim_s - const.ANSWER_MARGIN_S)
        self.hedge_at = now + const.OWNER_PATIENCE_PART * aim_s
        self.end_at = now + limit_s
        self.covered: set[int] = set()
        self.parts: list[SpreadPart] = []
        self.answered = 0
        self.out: dict[int, SpreadAsk] = {}
        self.silent: set[str] = set()
        self.hedged = False
        self.end: GatherEnd | None = None

    def start(self) -> list[SpreadAsk]:
        """Return the first asks."""
        return self._ask(range(len(self.route.shards)), 0, repeat=False)

    def answer(self, token: int, part: SpreadPart, now: float) -> None:
        """Take in what an owner brought."""
        ask = self.out.pop(token)
        if self.covered.isdisjoint(ask.places):
            self.covered.update(ask.places)
            self.parts.append(part)
            self.answered += len(part.signatures)
        self._judge(now)

    def tick(self, now: float) -> list[SpreadAsk]:
        """Let time pass; return asks to the next owners of shards without word."""
        asks: list[SpreadAsk] = []
        if not self.hedged and now >= self.hedge_at and self.end is None:
            self.hedged = True
            self.silent = {ask.owner.name for ask in self.out.values()}
            places = [at for ask in self.out.values() for at in ask.places]
            asks = self._ask(places, 1, repeat=True)
        self._judge(now)
        return asks

    def wake_at(self) -> float:
        """Return the time of the next `tick`."""
        waits = [self.end_at]
        if not self.hedged:
            waits.append(self.hedge_at)
        if self._enough():
            waits.append(self.aim_at)
        return min(waits)

    def _ask(self, places: "range | list[int]", rank: int, repeat: bool) -> list[SpreadAsk]:
        shards = [(at, self.route.shards[at]) for at in places]
        groups = group_by_owner(shards, self.peers, rank)
        asks = [SpreadAsk(next_token(), owner, group, repeat) for owner, group in groups.items()]
        self.out.update({ask.token: ask for ask in asks})
        return asks

    def _enough(self) -> bool:
        return self.answered >= least_parts(self.route)

    def _judge(self, now: float) -> None:
        if self.end is not None:
            return
        if len(self.covered) == len(self.route.shards):
            whole = self.answered == len(self.route.shards)
            self.end = GatherEnd("whole" if whole else "settled", self._enough())
        elif self._enough() and now >= self.aim_at:
            self.end = GatherEnd("aim", True)
        elif now >= self.end_at:
            self.end = GatherEnd("deadline", self._enough())
