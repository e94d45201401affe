"""Who lives, who reads the list, who is told, and the founding."""

import unittest

from nose2.tools import params

from spindle_decisions.fleet import const
from spindle_decisions.fleet.beat_plan import beats_now
from spindle_decisions.fleet.fleet_table import FleetTable
from spindle_decisions.fleet.founding import Founding
from spindle_decisions.fleet.list_keeper import ListKeeper
from spindle_decisions.fleet.list_turn import read_after_s
from spindle_decisions.fleet.news_targets import choose_targets
from spindle_decisions.routing.const import QUORUM_LOST_S
from spindle_decisions.routing.upstream_list import UpstreamList, create_upstream_list
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance
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
        table.told(NOW, ObservedInstance(control(1), 2_000))
        self.assertEqual(table.age(NOW, "core-1"), 2.0)
        self.assertEqual(table.lately(NOW, const.ROLE_CONTROL, 1.0), [])
        self.assertEqual(table.lately(NOW, const.ROLE_CONTROL, 3.0), [control(1)])

    def test_a_restart_counts_although_its_clock_jumped_back(self) -> None:
        table = FleetTable()
        table.heard(NOW, control(1, incarnation=9_000))
        table.heard(NOW + 1, control(1, incarnation=5_000))
        self.assertEqual(table.instances["core-1"].incarnation, 5_000)
        self.assertEqual(table.age(NOW + 1, "core-1"), 0.0)

    def test_older_word_of_an_earlier_start_replaces_nothing(self) -> None:
        table = FleetTable()
        table.heard(NOW, control(1, incarnation=2))
        table.told(NOW, ObservedInstance(control(1, incarnation=1), 500))
        self.assertEqual(table.instances["core-1"].incarnation, 2)

    def test_older_word_does_not_make_younger(self) -> None:
        table = FleetTable()
        table.heard(NOW, control(1))
        table.told(NOW, ObservedInstance(control(1), 5_000))
        self.assertEqual(table.age(NOW, "core-1"), 0.0)

    def test_only_what_was_heard_here_is_passed_on(self) -> None:
        table = FleetTable()
        table.heard(NOW, control(1))
        table.told(NOW, ObservedInstance(control(2), 100))
        self.assertEqual(table.told_here(NOW, 8.0), (ObservedInstance(control(1), 0),))
        self.assertEqual(table.told_here(NOW + 9, 8.0), ())

    def test_the_same_list_keeps_everybody_in_it_young(self) -> None:
        table = FleetTable()
        table.heard(NOW, control(1))
        table.heard(NOW, ENTRY)
        table.confirm(NOW + 5, const.ROLE_CONTROL)
        self.assertEqual(table.age(NOW + 5, "core-1"), 0.0)
        self.assertEqual(table.age(NOW + 5, ENTRY.name), 5.0)

    def test_the_long_silent_are_forgotten(self) -> None:
        table = FleetTable()
        table.heard(NOW, control(1))
        self.assertEqual(table.expire(NOW + const.FORGET_S + 1), [control(1)])
        self.assertEqual(table.instances, {})


class TestListKeeper(unittest.TestCase):
    def setUp(self) -> None:
        self.keeper = ListKeeper()
        self.first = create_upstream_list((listed("a", "s0"),))
        self.second = create_upstream_list((listed("b", "s0"),))

    def test_the_list_that_was_read_last_wins(self) -> None:
        self.assertTrue(self.keeper.take(self.second, NOW))
        self.assertFalse(self.keeper.take(self.first, NOW - 1))
        self.assertEqual(self.keeper.held, self.second)

    def test_the_same_content_is_no_news(self) -> None:
        self.keeper.take(self.first, NOW)
        again = UpstreamList(self.first.digest, self.first.upstreams)
        self.assertFalse(self.keeper.take(again, NOW + 1))
        self.assertEqual(self.keeper.age(NOW + 1), 0.0)

    def test_word_of_another_content_confirms_nothing(self) -> None:
        self.keeper.take(self.first, NOW)
        self.keeper.confirmed(self.second.digest, NOW + 5)
        self.assertEqual(self.keeper.age(NOW + 5), 5.0)
        self.keeper.confirmed(self.first.digest, NOW + 5)
        self.assertEqual(self.keeper.age(NOW + 5), 0.0)

    def test_warm_up_times_are_no_news(self) -> None:
        warm = create_upstream_list((listed("a", "s0", warmup_ms=500),))
        self.assertEqual(warm.digest, self.first.digest)


class TestTurns(unittest.TestCase):
    def test_the_leader_reads_and_the_others_follow_one_by_one(self) -> None:
        names = ["core-1", "core-2", "core-3"]
        turns = [read_after_s(name, "core-2", names) for name in names]
        self.assertEqual(min(turns), turns[1])
        self.assertEqual(len(set(turns)), 3)
        self.assertLess(max(turns), const.READ_ENTRY_S)

    @params(None, "core-9")
    def test_without_a_leader_somebody_reads(self, leader: str | None) -> None:
        self.assertLess(read_after_s("core-1", leader, ["core-1"]), 3.0)


class TestTargets(unittest.TestCase):
    def targets(self, table: FleetTable, answered: dict[str, float]) -> list[str]:
        return choose_targets(NOW, ENTRY, table, ("tcp://10.0.0.1:7000",), "", answered)

    def test_seeds_before_anybody_is_known(self) -> None:
        self.assertEqual(self.targets(FleetTable(), {}), ["tcp://10.0.0.1:7000"])

    def test_the_own_data_center_pushes_news(self) -> None:
        table = FleetTable()
        for number in range(1, 5):
            place = ENTRY.data_center if number == 3 else "rennes-a"
            table.heard(NOW, control(number, place))
        answered = {item.address: NOW for item in table.instances.values()}
        targets = self.targets(table, answered)
        self.assertEqual(targets[0], control(3).address)
        self.assertEqual(len(targets), const.BEAT_TARGETS)

    def test_the_first_has_to_answer_sooner(self) -> None:
        table = FleetTable()
        for number in (1, 2):
            table.heard(NOW, control(number))
        one, two = control(1).address, control(2).address
        late = {one: NOW - 2 * const.REDIAL_S, two: NOW - 2 * const.REDIAL_S}
        for first, other in ((one, two), (two, one)):
            targets = choose_targets(NOW, ENTRY, table, (), first, late)
            self.assertEqual(targets[0], other)

    def test_one_that_answers_goes_before_a_near_one_that_does_not(self) -> None:
        table = FleetTable()
        table.heard(NOW, control(1, ENTRY.data_center))
        table.heard(NOW, control(2))
        targets = self.targets(table, {control(2).address: NOW})
        self.assertEqual(targets[0], control(2).address)
        self.assertIn(control(1).address, targets)


class TestBeats(unittest.TestCase):
    @params(
        ("the first gets all", 0, True, 0.1, 8),
        ("the others get some", 1, True, 0.1, 2),
        ("all while nothing is settled", 1, False, 0.1, 8),
        ("all when the quorum is in doubt", 1, True, const.QUORUM_DOUBT_S + 0.1, 8),
    )
    def test_beats(
        self, _name: str, place: int, settled: bool, age_s: float, expected: int
    ) -> None:
        sent = sum(beats_now(number, place, settled, age_s) for number in range(8))
        self.assertEqual(sent, expected)

    def test_a_lost_first_is_noticed_before_the_quorum_counts_as_lost(self) -> None:
        beat_s = 0.4
        self.assertLess(const.QUORUM_DOUBT_S + beat_s, QUORUM_LOST_S)


class TestFounding(unittest.TestCase):
    def hello(self, number: int, founding: bool = True) -> FleetHello:
        return FleetHello(control(number), f"folder-{number}", founding, ())

    def found(self, own: int, seeds: tuple[int, ...] = (1, 2, 3)) -> Founding:
        addresses = tuple(control(number).address for number in seeds)
        me = control(own)
        return Founding(me.address, me.name, f"folder-{own}", addresses)

    def test_all_seeds_make_the_same_membership(self) -> None:
        made = []
        for own in (1, 2, 3):
            founding = self.found(own)
            self.assertIsNone(founding.membership())
            for other in (3, 2, 1):
                founding.heard(self.hello(other))
            made.append(founding.membership())
        self.assertIsNotNone(made[0])
        self.assertEqual(made[0], made[1])
        self.assertEqual(made[0], made[2])

    def test_one_that_founded_first_leaves_nobody_behind(self) -> None:
        foundings = {own: self.found(own) for own in (1, 2, 3)}
        first = foundings[1]
        for other in (2, 3):
            first.heard(self.hello(other, foundings[other].is_seed))
        self.assertIsNotNone(first.membership())
        for own in (2, 3):
            foundings[own].heard(self.hello(1, first.is_seed))
            foundings[own].heard(self.hello(5 - own, foundings[5 - own].is_seed))
            self.assertEqual(foundings[own].membership(), first.membership())

    def test_one_that_does_not_found_is_waited_for(self) -> None:
        founding = self.found(1)
        founding.heard(self.hello(2))
        founding.heard(self.hello(3, founding=False))
        self.assertIsNone(founding.membership())

    @params((4, (1, 2, 3)), (1, ()))
    def test_who_is_no_seed_never_founds(self, own: int, seeds: tuple[int, ...]) -> None:
        founding = self.found(own, seeds)
        for other in (1, 2, 3):
            founding.heard(self.hello(other))
        self.assertIsNone(founding.membership())
