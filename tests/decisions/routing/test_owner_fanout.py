"""Gathered requests whose shards belong to owners."""

import unittest

from nose2.tools import params

from spindle_decisions.routing.owner_fanout import OwnerFanout
from spindle_decisions.routing.owner_request import OwnerRequest
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.shard_owners import owner_of, shard_indexes_by_owner
from spindle_decisions.wire.fleet_instance import FleetInstance
from tests.decisions.routing.common import gather_route

NOW = 100.0
AIM_S = 0.1
PEERS = tuple(
    FleetInstance(f"front-{number}", "entry", "rennes-a", f"tcp://10.0.0.{number}:1", 1)
    for number in range(6)
)
SHARDS = [(at, f"s{at}") for at in range(90)]


def part(ask: OwnerRequest, missing: int = 0) -> OwnerResponse:
    """Return what an owner brings whose last shards did not answer."""
    places = ask.shard_indexes[: len(ask.shard_indexes) - missing]
    return OwnerResponse(tuple(f"stamp-{place}" for place in places), b"x" * 16)


class TestOwners(unittest.TestCase):
    def test_every_shard_has_one_owner(self) -> None:
        groups = shard_indexes_by_owner(SHARDS, PEERS)
        self.assertEqual(sorted(at for group in groups.values() for at in group), list(range(90)))
        self.assertEqual(set(groups), set(PEERS))

    def test_only_the_shards_of_one_that_left_move(self) -> None:
        left = PEERS[2]
        rest = tuple(peer for peer in PEERS if peer != left)
        for _, shard in SHARDS:
            before, after = owner_of(shard, PEERS), owner_of(shard, rest)
            if before != left:
                self.assertEqual(before, after)

    def test_alone_it_owns_everything(self) -> None:
        self.assertEqual(set(shard_indexes_by_owner(SHARDS, PEERS[:1])), {PEERS[0]})


class TestSpread(unittest.TestCase):
    def start(self, least: float = 0.9) -> list[OwnerRequest]:
        self.spread = OwnerFanout(gather_route(90, least), PEERS, NOW, 0.5)
        return self.spread.start()

    def ended(self) -> tuple[str, bool] | None:
        end = self.spread.outcome
        return None if end is None else (end.reason, end.answered)

    def signatures(self) -> list[str]:
        return [item for part in self.spread.responses for item in part.signatures]

    def test_whole(self) -> None:
        for ask in self.start():
            self.spread.on_owner_response(ask.request_token, part(ask), NOW + 0.02)
        self.assertEqual(self.ended(), ("whole", True))
        self.assertEqual(len(set(self.signatures())), 90)

    def test_a_silent_owner_is_noted_and_not_overtaken(self) -> None:
        silent, *others = self.start(0.99)
        for ask in others:
            self.spread.on_owner_response(ask.request_token, part(ask), NOW + 0.02)
        self.spread.tick(self.spread.next_tick_at())
        self.assertEqual(self.spread.unresponsive, {silent.owner.name})
        self.assertEqual(set(self.spread.in_flight), {silent.request_token})
        self.spread.on_owner_response(silent.request_token, part(silent), NOW + 0.2)
        self.assertEqual(self.ended(), ("whole", True))

    @params((0.5, ("aim", True)), (0.99, None))
    def test_at_the_aim_the_least_share_is_enough(
        self, least: float, end: tuple[str, bool] | None
    ) -> None:
        for ask in self.start(least)[1:]:
            self.spread.on_owner_response(ask.request_token, part(ask), NOW + 0.02)
        self.spread.tick(NOW + AIM_S)
        self.assertEqual(self.ended(), end)

    @params((1, ("settled", True)), (5, ("settled", False)))
    def test_owners_say_what_is_missing(self, missing: int, end: tuple[str, bool]) -> None:
        for ask in self.start():
            self.spread.on_owner_response(ask.request_token, part(ask, missing), NOW + 0.02)
        self.assertEqual(self.ended(), end)
        self.assertEqual(self.spread.answered_shards, 90 - 6 * missing)

    def test_deadline(self) -> None:
        self.start()
        self.spread.tick(NOW + 0.5)
        self.assertEqual(self.ended(), ("deadline", False))
