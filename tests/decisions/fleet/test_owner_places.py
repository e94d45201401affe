"""In which data centre the owners of shards are asked."""

import unittest

from nose2.tools import params

from spindle_decisions.fleet import const
from spindle_decisions.fleet.owner_places import OwnerPlaces
from spindle_decisions.routing.upstream_list import create_upstream_list
from spindle_decisions.wire.fleet_instance import FleetInstance
from tests.decisions.routing.common import listed

PLACES = ("rennes-a", "brest-b", "vannes-c", "quimper-d")
WITH_UPSTREAMS = PLACES[:3]


def entry(number: int, data_center: str) -> FleetInstance:
    """Return an entry instance."""
    return FleetInstance(f"front-{number}", const.ROLE_ENTRY, data_center, f"tcp://{number}", 1)


def places() -> OwnerPlaces:
    """Return the places where three data centres have ten shards and the fourth a desk."""
    made = OwnerPlaces()
    shards = (
        listed(f"{place}-{number}", f"s{number}", place)
        for place in WITH_UPSTREAMS
        for number in range(10)
    )
    made.take(create_upstream_list((*shards, listed("desk-1", "desk", "quimper-d"))))
    return made


class TestOwnerPlaces(unittest.TestCase):
    @params(*WITH_UPSTREAMS)
    def test_own_owners_where_upstreams_are_near(self, place: str) -> None:
        self.assertEqual(places().choose(entry(1, place), PLACES), place)

    def test_those_without_upstreams_divide_themselves_among_the_others(self) -> None:
        made = places()
        chosen = [made.choose(entry(number, "quimper-d"), PLACES) for number in range(90)]
        self.assertEqual(set(chosen), set(WITH_UPSTREAMS))
        for place in WITH_UPSTREAMS:
            self.assertGreater(chosen.count(place), 15)

    def test_a_data_centre_without_entry_instances_is_not_asked(self) -> None:
        made = places()
        for number in range(20):
            chosen = made.choose(entry(number, "quimper-d"), ("brest-b", "quimper-d"))
            self.assertEqual(chosen, "brest-b")

    def test_only_askers_of_a_lost_data_centre_move(self) -> None:
        made = places()
        for number in range(40):
            asker = entry(number, "quimper-d")
            before = made.choose(asker, PLACES)
            after = made.choose(asker, [name for name in PLACES if name != "rennes-a"])
            if before != "rennes-a":
                self.assertEqual(after, before)

    def test_without_a_list_everybody_asks_at_home(self) -> None:
        self.assertEqual(OwnerPlaces().choose(entry(1, "quimper-d"), PLACES), "quimper-d")
