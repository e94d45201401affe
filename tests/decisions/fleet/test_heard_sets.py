"""What control instances tell each other about whom they heard."""

import unittest

from spindle_decisions.fleet import const
from spindle_decisions.fleet.heard_sets import HeardSets, with_ages_only
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance

ME, OTHER = "core-1", "core-2"


def instance(name: str, incarnation: int = 1) -> FleetInstance:
    """Return a process."""
    return FleetInstance(name, const.ROLE_ENTRY, "rennes-a", f"tcp://{name}:1", incarnation)


def heard(*ages_ms: int, incarnation: int = 1) -> tuple[ObservedInstance, ...]:
    """Return one process for each age."""
    return tuple(
        ObservedInstance(instance(f"front-{number}", incarnation), age_ms)
        for number, age_ms in enumerate(ages_ms)
    )


class TestHeardSets(unittest.TestCase):
    def setUp(self) -> None:
        self.sets = {ME: HeardSets(), OTHER: HeardSets()}

    def say(
        self, sender: str, told: tuple[ObservedInstance, ...], lost: bool = False
    ) -> tuple[FleetHello, tuple[ObservedInstance, ...]]:
        """Send a hello; return it, and what the other took from it."""
        receiver = OTHER if sender == ME else ME
        own = self.sets[sender]
        hello = FleetHello(instance(sender), "folder", False, ())
        if told:
            hello = own.tell(hello, told)
            if own.is_held_by(receiver, hello.heard_digest):
                hello = with_ages_only(hello)
        return hello, () if lost else self.sets[receiver].take(receiver, hello)

    def met(self) -> None:
        """Have both know what the other holds."""
        for sender in (ME, OTHER, ME, OTHER):
            self.say(sender, heard(1, 2))

    def test_a_set_is_told_whole_until_it_is_held(self) -> None:
        first, taken = self.say(ME, heard(10, 20))
        self.assertEqual((first.heard, taken), (heard(10, 20), heard(10, 20)))
        self.say(OTHER, heard(5))
        later, taken = self.say(ME, heard(30, 40))
        self.assertEqual((later.heard, later.ages_ms), ((), (30, 40)))
        self.assertEqual(taken, heard(30, 40))

    def test_another_start_is_another_set(self) -> None:
        self.met()
        hello, taken = self.say(ME, heard(1, 2, incarnation=2))
        self.assertEqual(hello.heard, heard(1, 2, incarnation=2))
        self.assertEqual(taken, hello.heard)

    def test_one_that_forgot_everything_is_told_again(self) -> None:
        self.met()
        self.sets[OTHER] = HeardSets()
        _, taken = self.say(ME, heard(1, 2))
        self.assertEqual(taken, ())
        self.say(OTHER, heard(1, 2))
        _, taken = self.say(ME, heard(3, 4))
        self.assertEqual(taken, heard(3, 4))

    def test_a_lost_set_is_told_again(self) -> None:
        self.met()
        self.say(ME, heard(1, 2, 3), lost=True)
        _, taken = self.say(ME, heard(4, 5, 6))
        self.assertEqual(taken, heard(4, 5, 6))

    def test_a_hello_without_a_set_changes_nothing(self) -> None:
        self.met()
        self.assertEqual(self.say(OTHER, ())[1], ())
        hello, _ = self.say(ME, heard(7, 8))
        self.assertEqual((hello.heard, hello.ages_ms), ((), (7, 8)))

    def test_ages_alone_are_small(self) -> None:
        told = heard(*range(31))
        self.say(ME, told)
        self.say(OTHER, heard(1))
        hello, _ = self.say(ME, told)
        self.assertEqual((len(hello.heard), len(hello.ages_ms)), (0, 31))
