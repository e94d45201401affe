"""Who lives, who reads the list, who is told, and the founding."""

import unittest

from nose2.tools import params

from spindle_decisions.fleet import const
from spindle_decisions.fleet.fleet_table import FleetTable
from spindle_decisions.fleet.heartbeat_schedule import is_heartbeat_due
from spindle_decisions.fleet.heartbeat_targets import choose_heartbeat_targets
from spindle_decisions.fleet.list_refresh_schedule import refresh_age_s
from spindle_decisions.fleet.seed_bootstrap import SeedBootstrap
from spindle_decisions.fleet.upstream_list_cache import UpstreamListCache
from spindle_decisions.routing.const import QUORUM_TIMEOUT_S
from spindle_decisions.routing.upstream_list import UpstreamList, create_upstream_list
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.heard_instance import HeardInstance
from tests.decisions.routing.common import listed

NOW = 100.0


def control(number: int, data_center: str = "rennes-a", incarnation: int = 1) -> FleetInstance:
    """Return a control instance."""
    address = f"tcp://10.0.0.{number}:7000"
    return FleetInstance(f"core-{number}", const.ROLE_CONTROL, data_center, address, incarnation)


ENTRY = FleetInstance("front-1", const.ROLE_ENTRY, "brest-b", "tcp://10.0.1.1:7000", 1)


class TestFleetTable(unittest.TestCase):
    def test_what_others_heard_counts_with_its_age(self) -> None:
        table = FleetTable()
        table.observe_indirect(NOW, HeardInstance(control(1), 2_000))
        self.assertEqual(table.age_s(NOW, "core-1"), 2.0)
        self.assertEqual(table.recently_seen(NOW, const.ROLE_CONTROL, 1.0), [])
        self.assertEqual(table.recently_seen(NOW, const.ROLE_CONTROL, 3.0), [control(1)])

    def test_a_restart_counts_although_its_clock_jumped_back(self) -> None:
        table = FleetTable()
        table.observe(NOW, control(1, incarnation=9_000))
        table.observe(NOW + 1, control(1, incarnation=5_000))
        self.assertEqual(table.instances["core-1"].incarnation, 5_000)
        self.assertEqual(table.age_s(NOW + 1, "core-1"), 0.0)

    def test_older_word_of_an_earlier_start_replaces_nothing(self) -> None:
        table = FleetTable()
        table.observe(NOW, control(1, incarnation=2))
        table.observe_indirect(NOW, HeardInstance(control(1, incarnation=1), 500))
        self.assertEqual(table.instances["core-1"].incarnation, 2)

    def test_older_word_does_not_make_younger(self) -> None:
        table = FleetTable()
        table.observe(NOW, control(1))
        table.observe_indirect(NOW, HeardInstance(control(1), 5_000))
        self.assertEqual(table.age_s(NOW, "core-1"), 0.0)

    def test_only_what_was_heard_here_is_passed_on(self) -> None:
        table = FleetTable()
        table.observe(NOW, control(1))
        table.observe_indirect(NOW, HeardInstance(control(2), 100))
        self.assertEqual(table.direct_observations(NOW, 8.0), (HeardInstance(control(1), 0),))
        self.assertEqual(table.direct_observations(NOW + 9, 8.0), ())

    def test_the_same_list_keeps_everybody_in_it_young(self) -> None:
        table = FleetTable()
        table.observe(NOW, control(1))
        table.observe(NOW, ENTRY)
        table.refresh_role(NOW + 5, const.ROLE_CONTROL)
        self.assertEqual(table.age_s(NOW + 5, "core-1"), 0.0)
        self.assertEqual(table.age_s(NOW + 5, ENTRY.name), 5.0)

    def test_the_long_silent_are_forgotten(self) -> None:
        table = FleetTable()
        table.observe(NOW, control(1))
        self.assertEqual(table.expire(NOW + const.EXPIRE_AFTER_S + 1), [control(1)])
        self.assertEqual(table.instances, {})


class TestListKeeper(unittest.TestCase):
    def setUp(self) -> None:
        self.keeper = UpstreamListCache()
        self.first = create_upstream_list((listed("a", "s0"),))
        self.second = create_upstream_list((listed("b", "s0"),))

    def test_the_list_that_was_read_last_wins(self) -> None:
        self.assertTrue(self.keeper.update(self.second, NOW))
        self.assertFalse(self.keeper.update(self.first, NOW - 1))
        self.assertEqual(self.keeper.newest, self.second)

    def test_the_same_content_is_no_news(self) -> None:
        self.keeper.update(self.first, NOW)
        again = UpstreamList(self.first.digest, self.first.upstreams)
        self.assertFalse(self.keeper.update(again, NOW + 1))
        self.assertEqual(self.keeper.age_s(NOW + 1), 0.0)

    def test_word_of_another_content_confirms_nothing(self) -> None:
        self.keeper.update(self.first, NOW)
        self.keeper.refresh(self.second.digest, NOW + 5)
        self.assertEqual(self.keeper.age_s(NOW + 5), 5.0)
        self.keeper.refresh(self.first.digest, NOW + 5)
        self.assertEqual(self.keeper.age_s(NOW + 5), 0.0)

    def test_warm_up_times_are_no_news(self) -> None:
        warm = create_upstream_list((listed("a", "s0", warmup_ms=500),))
        self.assertEqual(warm.digest, self.first.digest)


class TestTurns(unittest.TestCase):
    def test_the_leader_reads_and_the_others_follow_one_by_one(self) -> None:
        names = ["core-1", "core-2", "core-3"]
        turns = [refresh_age_s(name, "core-2", names) for name in names]
        self.assertEqual(min(turns), turns[1])
        self.assertEqual(len(set(turns)), 3)
        self.assertLess(max(turns), const.LIST_REFRESH_ENTRY_S)

    @params(None, "core-9")
    def test_without_a_leader_somebody_reads(self, leader: str | None) -> None:
        self.assertLess(refresh_age_s("core-1", leader, ["core-1"]), 3.0)


class TestTargets(unittest.TestCase):
    def targets(self, table: FleetTable, answered: dict[str, float]) -> list[str]:
        return choose_heartbeat_targets(NOW, ENTRY, table, ("tcp://10.0.0.1:7000",), "", answered)

    def test_seeds_before_anybody_is_known(self) -> None:
        self.assertEqual(self.targets(FleetTable(), {}), ["tcp://10.0.0.1:7000"])

    def test_the_own_data_center_pushes_news(self) -> None:
        table = FleetTable()
        for number in range(1, 5):
            place = ENTRY.data_center if number == 3 else "rennes-a"
            table.observe(NOW, control(number, place))
        answered = {item.address: NOW for item in table.instances.values()}
        targets = self.targets(table, answered)
        self.assertEqual(targets[0], control(3).address)
        self.assertEqual(len(targets), const.HEARTBEAT_TARGETS)

    def test_the_first_has_to_answer_sooner(self) -> None:
        table = FleetTable()
        for number in (1, 2):
            table.observe(NOW, control(number))
        one, two = control(1).address, control(2).address
        late = {one: NOW - 2 * const.RECONNECT_TIMEOUT_S, two: NOW - 2 * const.RECONNECT_TIMEOUT_S}
        for first, other in ((one, two), (two, one)):
            targets = choose_heartbeat_targets(NOW, ENTRY, table, (), first, late)
            self.assertEqual(targets[0], other)

    def test_one_that_answers_goes_before_a_near_one_that_does_not(self) -> None:
        table = FleetTable()
        table.observe(NOW, control(1, ENTRY.data_center))
        table.observe(NOW, control(2))
        targets = self.targets(table, {control(2).address: NOW})
        self.assertEqual(targets[0], control(2).address)
        self.assertIn(control(1).address, targets)


class TestBeats(unittest.TestCase):
    @params(
        ("the first gets all", 0, True, 0.1, 8),
        ("the others get some", 1, True, 0.1, 2),
        ("all while nothing is settled", 1, False, 0.1, 8),
        ("all when the quorum is in doubt", 1, True, const.QUORUM_STALE_S + 0.1, 8),
    )
    def test_beats(
        self, _name: str, place: int, settled: bool, age_s: float, expected: int
    ) -> None:
        sent = sum(is_heartbeat_due(number, place, settled, age_s) for number in range(8))
        self.assertEqual(sent, expected)

    def test_a_lost_first_is_noticed_before_the_quorum_counts_as_lost(self) -> None:
        beat_s = 0.4
        self.assertLess(const.QUORUM_STALE_S + beat_s, QUORUM_TIMEOUT_S)


class TestFounding(unittest.TestCase):
    def hello(self, number: int, founding: bool = True) -> FleetHello:
        return FleetHello(control(number), f"folder-{number}", founding, ())

    def found(self, own: int, seeds: tuple[int, ...] = (1, 2, 3)) -> SeedBootstrap:
        addresses = tuple(control(number).address for number in seeds)
        me = control(own)
        return SeedBootstrap(me.address, me.name, f"folder-{own}", addresses)

    def test_all_seeds_make_the_same_membership(self) -> None:
        made = []
        for own in (1, 2, 3):
            founding = self.found(own)
            self.assertIsNone(founding.initial_membership())
            for other in (3, 2, 1):
                founding.on_hello(self.hello(other))
            made.append(founding.initial_membership())
        self.assertIsNotNone(made[0])
        self.assertEqual(made[0], made[1])
        self.assertEqual(made[0], made[2])

    def test_one_that_founded_first_leaves_nobody_behind(self) -> None:
        foundings = {own: self.found(own) for own in (1, 2, 3)}
        first = foundings[1]
        for other in (2, 3):
            first.on_hello(self.hello(other, foundings[other].is_seed))
        self.assertIsNotNone(first.initial_membership())
        for own in (2, 3):
            foundings[own].on_hello(self.hello(1, first.is_seed))
            foundings[own].on_hello(self.hello(5 - own, foundings[5 - own].is_seed))
            self.assertEqual(foundings[own].initial_membership(), first.initial_membership())

    def test_one_that_does_not_found_is_waited_for(self) -> None:
        founding = self.found(1)
        founding.on_hello(self.hello(2))
        founding.on_hello(self.hello(3, founding=False))
        self.assertIsNone(founding.initial_membership())

    @params((4, (1, 2, 3)), (1, ()))
    def test_who_is_no_seed_never_founds(self, own: int, seeds: tuple[int, ...]) -> None:
        founding = self.found(own, seeds)
        for other in (1, 2, 3):
            founding.on_hello(self.hello(other))
        self.assertIsNone(founding.initial_membership())
