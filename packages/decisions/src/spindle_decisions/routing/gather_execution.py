"""The decisions of one gathered request."""

from spindle_decisions.routing import attempt_cause, const
from spindle_decisions.routing.gather_outcome import GatherOutcome
from spindle_decisions.routing.gather_shard import GatherShard
from spindle_decisions.routing.route import Route
from spindle_decisions.routing.routing_state import RoutingState
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt, next_attempt_id
from spindle_decisions.util.units import MS_PER_S


class GatherExecution:
    """Sends to all shards, hedges and repeats within the budget, and ends the request.

    A part that is missing costs the answer the square of its share, while an answer
    behind the aim is worth a small part of one within it. So the request ends, once
    the least share is in, at the aim at the latest; before it only when nothing more
    can come. Example:

        gather = Gather(route, book, now, limit_s)
        sends = gather.start(now)
        gather.part(token, part, now)
        if gather.end is not None: ...
    """

    def __init__(self, route: Route, book: RoutingState, now: float, limit_s: float) -> None:
        self.route = route
        self.book = book
        self.shards = [GatherShard(service) for service in route.shards]
        self.usual = book.usual(route)
        aim_s = route.aim_ms / MS_PER_S
        self.hedge_at = now + self.usual.hedge_after_s(aim_s)
        self.aim_at = now + max(0.0, aim_s - const.RESPONSE_MARGIN_S)
        self.end_at = now + limit_s
        self.missing = len(self.shards)
        self.may_miss = len(self.shards) - min_parts(route)
        self.lost = 0
        self.end: GatherOutcome | None = None
        self.sends: dict[int, UpstreamAttempt] = {}

    def start(self, now: float) -> list[UpstreamAttempt]:
        """Return the first send of each shard."""
        sends = []
        for at, shard in enumerate(self.shards):
            self.book.budget(shard.service).requested(now)
            sends.append(self._send(at, attempt_cause.FIRST, now))
        self._judge(now)
        return [send for send in sends if send is not None]

    def part(self, token: int, part: object, now: float) -> None:
        """Take in a good part."""
        send = self.sends.pop(token)
        shard = self.shards[send.shard]
        sent_at = shard.out.pop(token)
        if shard.part is None:
            shard.part = part
            self.missing -= 1
            self.usual.add(now - sent_at)
        self._judge(now)

    def failure(self, token: int, now: float, unsent: bool = False) -> list[UpstreamAttempt]:
        """Take in a send that brought no part; return what goes out instead, if anything.

        One of which no byte left was no attempt, and what replaces it no repeat.
        """
        send = self.sends.pop(token)
        shard = self.shards[send.shard]
        shard.out.pop(token)
        if shard.part is not None or self.end is not None:
            return []
        cause = attempt_cause.RETRY
        if unsent:
            shard.unsent += 1
            cause = send.cause
        again = self._send(send.shard, cause, now, unsent)
        self._judge(now)
        return [] if again is None else [again]

    def tick(self, now: float) -> list[UpstreamAttempt]:
        """Let time pass; return hedges that are due."""
        sends = []
        if now >= self.hedge_at and self.end is None:
            for at, shard in enumerate(self.shards):
                if shard.part is None and not shard.lost and not shard.hedged and shard.out:
                    shard.hedged = True
                    send = self._send(at, attempt_cause.HEDGE, now)
                    if send is not None:
                        sends.append(send)
        self._judge(now)
        return sends

    def wake_at(self) -> float:
        """Return the time of the next `tick`."""
        waits = [self.end_at]
        if any(not shard.hedged and shard.part is None for shard in self.shards):
            waits.append(self.hedge_at)
        if self.missing <= self.may_miss:
            waits.append(self.aim_at)
        return min(waits)

    def _send(self, at: int, cause: str, now: float, paid: bool = False) -> UpstreamAttempt | None:
        shard = self.shards[at]
        replica = None
        attempts = len(shard.tried) - shard.unsent
        if attempts < self.route.max_attempts and now < self.end_at:
            replica = self.book.replicas.choose(
                shard.service, now, self.usual.seconds, tuple(shard.tried)
            )
        free = paid or cause == attempt_cause.FIRST
        if replica is not None and not free and not self.book.take_repeat(shard.service, now):
            replica = None
        if replica is None:
            if not shard.out and not shard.lost:
                shard.lost = True
                self.lost += 1
            return None
        send = UpstreamAttempt(next_attempt_id(), at, replica, cause)
        shard.tried.append(replica)
        shard.out[send.token] = now
        self.sends[send.token] = send
        return send

    def _judge(self, now: float) -> None:
        if self.end is not None:
            return
        enough = self.missing <= self.may_miss
        if self.missing == 0:
            self.end = GatherOutcome("whole", True)
        elif enough and now >= self.aim_at:
            self.end = GatherOutcome("aim", True)
        elif enough and self.missing == self.lost:
            self.end = GatherOutcome("settled", True)
        elif self.lost > self.may_miss:
            self.end = GatherOutcome("doomed", False)
        elif now >= self.end_at:
            self.end = GatherOutcome("deadline", enough)


def min_parts(route: Route) -> int:
    """Return how many shards must have answered; a share of 0 needs none."""
    if route.least_share <= 0:
        return 0
    count = len(route.shards)
    for parts in range(1, count + 1):
        if parts / count >= route.least_share:
            return parts
    return count
