"""Waiting for a connection: one instance gets the requests of its whole data centre.

After a restart of everything, and while other instances stop in turn, a single instance
serves all callers of its data centre with its own share of the connections.
"""

import unittest

from nose2.tools import params

from spindle_decisions.routing.connection_queue import ConnectionQueue
from spindle_decisions.routing.gather_execution import GatherExecution
from spindle_decisions.routing.routing_state import RoutingState
from tests.decisions.routing.common import gather_route, shard_routing_state
from tests.decisions.routing.gather_load import GatherLoad

SHARDS = 20
WORK_S = 0.01
AIM_S = 0.1
NOW = 100.0
LIMIT_S = 0.5


def state_with_share(share: int) -> RoutingState:
    """Return a state in which each of two replicas of a shard has that many connections."""
    state = shard_routing_state(SHARDS)
    for replica in state.replicas.replicas.values():
        replica.connection_share = share
    return state


class TestBurstAtOneInstance(unittest.TestCase):
    @params((2, 8), (2, 12), (1, 6))
    def test_all_of_a_burst_are_served_whole_within_the_aim(self, share: int, count: int) -> None:
        load = GatherLoad(state_with_share(share), gather_route(SHARDS, 0.9), WORK_S)
        for number in range(count):
            load.arrive(number * 0.001)
        load.run()
        self.assertEqual([item[0].reason for item in load.ended], ["whole"] * count)
        self.assertLess(max(item[1] for item in load.ended), AIM_S)

    def test_what_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        load = GatherLoad(state_with_share(2), gather_route(SHARDS, 0.9), WORK_S)
        for number in range(200):
            load.arrive(number * 0.0001)
        load.run()
        refused = [took_s for outcome, took_s, _ in load.ended if not outcome.answered]
        answered = [took_s for outcome, took_s, _ in load.ended if outcome.answered]
        self.assertEqual(len(load.ended), 200)
        self.assertGreater(len(answered), 10)
        self.assertLess(max(answered), AIM_S)
        self.assertEqual(max(refused), 0.0)
        self.assertLessEqual(load.attempt_count, 2 * SHARDS * len(answered))

    def test_steady_load_above_the_share_is_served_at_the_rate_of_the_slots(self) -> None:
        """Four slots a shard serve 400 parts a second: no request is refused at 300."""
        load = GatherLoad(state_with_share(2), gather_route(SHARDS, 0.9), WORK_S)
        for number in range(300):
            load.arrive(number / 300)
        load.run()
        self.assertEqual([item for item in load.ended if not item[0].answered], [])


class TestSilentUpstreams(unittest.TestCase):
    def test_nobody_waits_long_behind_silent_upstreams(self) -> None:
        """A cut hides both upstreams of three shards; their connections are not freed."""
        silent = frozenset(f"s{number}-{letter}" for number in range(3) for letter in "ab")
        load = GatherLoad(state_with_share(1), gather_route(SHARDS, 0.9), WORK_S, silent)
        for number in range(40):
            load.arrive(0.02 * number)
        load.run()
        later = [item for item in load.ended if item[2] > AIM_S]
        self.assertEqual([item for item in later if item[0].answered], [])
        self.assertEqual(max(took_s for _, took_s, _ in later), 0.0)


class TestGatherExecution(unittest.TestCase):
    def setUp(self) -> None:
        self.state = state_with_share(1)
        self.woken = 0

    def gather(self, least_share: float = 0.9) -> GatherExecution:
        return GatherExecution(
            gather_route(SHARDS, least_share), self.state, NOW, LIMIT_S, self.wake
        )

    def wake(self) -> None:
        self.woken += 1

    def occupy(self, shard: str, at: float = NOW) -> None:
        for letter in "ab":
            self.state.replicas.replicas[f"{shard}-{letter}"].record_sent(-1, at)

    def free(self, shard: str) -> None:
        self.state.replicas.replicas[f"{shard}-a"].record_finished(-1)
        self.state.replicas.connection_queue.notify(shard)

    def test_doomed_request_sends_nothing(self) -> None:
        for number in range(3):
            self.occupy(f"s{number}", NOW - 10.0)
        gather = self.gather()
        self.assertEqual(gather.start(NOW), [])
        assert gather.outcome is not None
        self.assertEqual((gather.outcome.reason, gather.outcome.answered), ("doomed", False))
        self.assertEqual(
            [shard.tried_replicas for shard in gather.shards if shard.tried_replicas], []
        )
        self.assertEqual(
            [shard.service for shard in gather.shards if shard.given_up], ["s0", "s1", "s2"]
        )

    def test_shard_that_waits_gets_the_connection_that_is_free(self) -> None:
        self.occupy("s0")
        gather = self.gather()
        self.assertEqual(len(gather.start(NOW)), SHARDS - 1)
        self.assertEqual(gather.tick(NOW + 0.005), [])
        self.free("s0")
        self.assertEqual(self.woken, 1)
        attempts = gather.tick(NOW + 0.006)
        self.assertEqual([(item.shard_index, item.cause) for item in attempts], [(0, "first")])

    def test_shard_that_waits_is_given_up_at_the_aim(self) -> None:
        self.occupy("s0")
        gather = self.gather()
        for attempt in gather.start(NOW):
            gather.on_response(attempt.attempt_id, "part", NOW + 0.01)
        self.assertIsNone(gather.outcome)
        gather.tick(gather.next_tick_at())
        gather.tick(NOW + AIM_S)
        assert gather.outcome is not None
        self.assertEqual((gather.outcome.reason, gather.missing), ("aim", 1))

    def test_request_that_ended_passes_its_connection_on(self) -> None:
        self.occupy("s0")
        first, second = self.gather(), self.gather()
        for gather in (first, second):
            gather.start(NOW)
        self.free("s0")
        self.assertEqual(second.tick(NOW + 0.001), [])
        first.close()
        self.assertEqual(len(second.tick(NOW + 0.002)), 1)


class TestConnectionQueue(unittest.TestCase):
    def test_first_come_first_served_and_ended_requests_are_passed_over(self) -> None:
        queue = ConnectionQueue()
        called: list[str] = []

        def waiter(name: str, needs: bool) -> None:
            def offer() -> bool:
                called.append(name)
                return needs

            queue.add("s0", offer)

        waiter("ended", False)
        waiter("first", True)
        waiter("second", True)
        queue.notify("s0")
        self.assertEqual((called, queue.length("s0")), (["ended", "first"], 1))
        queue.notify("s0")
        queue.notify("s0")
        self.assertEqual((called[2:], queue.waiters), (["second"], {}))
