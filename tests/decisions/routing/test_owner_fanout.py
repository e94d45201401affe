"""Tests of scatter-gather requests through shard owners."""

import dataclasses
import unittest

import msgspec
from nose2.tools import params

from spindle_decisions.routing.owner_fanout import OwnerFanout
from spindle_decisions.routing.owner_request import OwnerRequest
from spindle_decisions.routing.owner_response import OwnerResponse
from spindle_decisions.routing.shard_owners import owner_of, shard_indexes_by_owner
from spindle_decisions.wire.fleet_instance import FleetInstance
from tests.decisions.routing.common import gather_route

NOW = 100.0
AIM_S = 0.1
LONG_LIMIT_S = 1.2
PEERS = tuple(
    FleetInstance(f"front-{number}", "entry", "rennes-a", f"tcp://10.0.0.{number}:1", 1)
    for number in range(6)
)
SHARDS = [(index, f"s{index}") for index in range(90)]


def owner_response(request: OwnerRequest, missing: int = 0) -> OwnerResponse:
    """Return the response of an owner whose last `missing` shards did not answer."""
    indexes = request.shard_indexes[: len(request.shard_indexes) - missing]
    return OwnerResponse(tuple(f"stamp-{index}" for index in indexes), b"x" * 16)


class TestOwners(unittest.TestCase):
    def test_every_shard_has_one_owner(self) -> None:
        groups = shard_indexes_by_owner(SHARDS, PEERS)
        self.assertEqual(
            sorted(index for group in groups.values() for index in group), list(range(90))
        )
        self.assertEqual(set(groups), set(PEERS))

    def test_removing_an_instance_moves_only_its_shards(self) -> None:
        removed = PEERS[2]
        remaining = tuple(peer for peer in PEERS if peer != removed)
        for _, shard in SHARDS:
            before, after = owner_of(shard, PEERS), owner_of(shard, remaining)
            if before != removed:
                self.assertEqual(before, after)

    def test_single_instance_owns_all_shards(self) -> None:
        self.assertEqual(set(shard_indexes_by_owner(SHARDS, PEERS[:1])), {PEERS[0]})


class TestOwnerFanout(unittest.TestCase):
    def start(self, least_share: float = 0.9) -> list[OwnerRequest]:
        self.fanout = OwnerFanout(gather_route(90, least_share), PEERS, NOW, 0.5)
        return self.fanout.start()

    def outcome(self) -> tuple[str, bool] | None:
        outcome = self.fanout.outcome
        return None if outcome is None else (outcome.reason, outcome.answered)

    def signatures(self) -> list[str]:
        return [item for response in self.fanout.responses for item in response.signatures]

    def test_ends_when_all_shards_answered(self) -> None:
        for request in self.start():
            self.fanout.on_owner_response(
                request.request_token, owner_response(request), NOW + 0.02
            )
        self.assertEqual(self.outcome(), ("whole", True))
        self.assertEqual(len(set(self.signatures())), 90)

    def test_unresponsive_owner_is_recorded_and_not_replaced(self) -> None:
        unresponsive, *others = self.start(0.99)
        for request in others:
            self.fanout.on_owner_response(
                request.request_token, owner_response(request), NOW + 0.02
            )
        self.fanout.tick(self.fanout.next_tick_at())
        self.assertEqual(self.fanout.unresponsive, {unresponsive.owner.name})
        self.assertEqual(set(self.fanout.in_flight), {unresponsive.request_token})
        self.fanout.on_owner_response(
            unresponsive.request_token, owner_response(unresponsive), NOW + 0.2
        )
        self.assertEqual(self.outcome(), ("whole", True))

    def test_pause_of_this_instance_is_not_blamed_on_the_owners(self) -> None:
        self.start(0.99)
        self.fanout.tick(self.fanout.owner_timeout_at + 3.0)
        self.assertEqual(self.fanout.unresponsive, set())

    @params((True, ("silent", False)), (False, None))
    def test_ends_before_the_deadline_if_only_silent_owners_are_missing(
        self, is_silent: bool, expected: tuple[str, bool] | None
    ) -> None:
        self.fanout = OwnerFanout(gather_route(90, 0.99), PEERS, NOW, LONG_LIMIT_S)
        missing, *others = self.fanout.start()
        for request in others:
            self.fanout.on_owner_response(
                request.request_token, owner_response(request), NOW + 0.02
            )
        silent = {missing.owner.name} if is_silent else set()
        now, ticks = NOW, 0
        while self.outcome() is None and now < self.fanout.end_at:
            self.assertGreater(self.fanout.next_tick_at(), now)
            now, ticks = self.fanout.next_tick_at(), ticks + 1
            self.fanout.check_silence(silent, now)
            if self.outcome() is None and now < self.fanout.end_at:
                self.fanout.tick(now)
        self.assertEqual(self.outcome(), expected)
        self.assertLessEqual(ticks, 3)
        if is_silent:
            self.assertLess(now, NOW + 0.7 * LONG_LIMIT_S)

    @params((0.5, ("aim", True)), (0.99, None))
    def test_ends_at_the_aim_with_the_least_share(
        self, least_share: float, expected: tuple[str, bool] | None
    ) -> None:
        for request in self.start(least_share)[1:]:
            self.fanout.on_owner_response(
                request.request_token, owner_response(request), NOW + 0.02
            )
        self.fanout.tick(NOW + AIM_S)
        self.assertEqual(self.outcome(), expected)

    @params((12, 121.0), (135, 121.0), (135, 58.0))
    def test_answer_of_many_shards_leaves_early_enough(self, shards: int, aim_ms: float) -> None:
        """An answer of 135 shards takes 15 ms on a link of 7 Mbit/s and half a core."""
        route = msgspec.structs.replace(gather_route(shards), aim_ms=int(aim_ms))
        fanout = OwnerFanout(route, PEERS, NOW, 0.5)
        bytes_on_link_s = shards * 36 * 8 / 7_000_000
        left_s = NOW + aim_ms / 1_000 - fanout.aim_at
        self.assertGreater(left_s, 0.012 + 2 * bytes_on_link_s)
        self.assertGreater(fanout.aim_at, NOW + 0.5 * aim_ms / 1_000)

    def test_ends_before_the_aim_once_all_owners_have_responded_with_enough(self) -> None:
        """Regression: waiting for single parts until the aim made a tenth of answers late."""
        requests = self.start(0.9)
        for request in requests[:-1]:
            partial = dataclasses.replace(owner_response(request, missing=1), more=True)
            self.fanout.on_owner_response(request.request_token, partial, NOW + 0.06)
        self.assertIsNone(self.outcome())
        last = owner_response(requests[-1])
        self.fanout.on_owner_response(requests[-1].request_token, last, NOW + 0.07)
        self.assertEqual(self.outcome(), ("aim", True))

    def test_late_parts_count_until_the_least_share_is_reached(self) -> None:
        requests = self.start(0.99)
        for request in requests:
            partial = owner_response(request, missing=1)
            self.fanout.on_owner_response(
                request.request_token, dataclasses.replace(partial, more=True), NOW + 0.08
            )
        self.fanout.tick(self.fanout.owner_timeout_at)
        self.assertEqual(self.fanout.unresponsive, set())
        self.fanout.tick(NOW + AIM_S)
        self.assertIsNone(self.outcome())
        for number, request in enumerate(requests):
            late = OwnerResponse((f"late-{number}",), b"x" * 16, more=True, number=1)
            for _ in range(2):
                self.fanout.on_owner_response(request.request_token, late, NOW + 0.15)
        self.assertEqual(self.outcome(), ("aim", True))
        self.assertEqual(self.fanout.answered_shards, 90)
        self.assertEqual(len(self.signatures()), len(set(self.signatures())))

    @params((1, ("settled", True)), (5, ("settled", False)))
    def test_ends_when_all_owners_answered_with_missing_shards(
        self, missing: int, expected: tuple[str, bool]
    ) -> None:
        for request in self.start():
            self.fanout.on_owner_response(
                request.request_token, owner_response(request, missing), NOW + 0.02
            )
        self.assertEqual(self.outcome(), expected)
        self.assertEqual(self.fanout.answered_shards, 90 - 6 * missing)

    def test_ends_at_the_deadline(self) -> None:
        self.start()
        self.fanout.tick(NOW + 0.5)
        self.assertEqual(self.outcome(), ("deadline", False))
