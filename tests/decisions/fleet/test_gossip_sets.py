"""Tests of the gossip between control instances about the processes they see."""

import unittest

from spindle_decisions.fleet import const
from spindle_decisions.fleet.gossip_sets import GossipSets, without_instances
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance

ME, OTHER = "core-1", "core-2"


def instance(name: str, incarnation: int = 1) -> FleetInstance:
    """Return a process."""
    return FleetInstance(name, const.ROLE_ENTRY, "rennes-a", f"tcp://{name}:1", incarnation)


def observations(*ages_ms: int, incarnation: int = 1) -> tuple[ObservedInstance, ...]:
    """Return one process for each age."""
    return tuple(
        ObservedInstance(instance(f"front-{number}", incarnation), age_ms)
        for number, age_ms in enumerate(ages_ms)
    )


class TestGossipSets(unittest.TestCase):
    def setUp(self) -> None:
        self.sets = {ME: GossipSets(), OTHER: GossipSets()}

    def exchange(
        self, sender: str, observed: tuple[ObservedInstance, ...], lost: bool = False
    ) -> tuple[FleetHello, tuple[ObservedInstance, ...]]:
        """Send a hello; return it and the observations the receiver got from it."""
        receiver = OTHER if sender == ME else ME
        own = self.sets[sender]
        hello = FleetHello(instance(sender), "folder", False, ())
        if observed:
            hello = own.with_instances(hello, observed)
            if own.is_held_by(receiver, hello.heard_digest):
                hello = without_instances(hello)
        return hello, () if lost else self.sets[receiver].receive_hello(receiver, hello)

    def exchange_sets(self) -> None:
        """Exchange hellos until both know which sets the other holds."""
        for sender in (ME, OTHER, ME, OTHER):
            self.exchange(sender, observations(1, 2))

    def test_full_set_is_sent_until_the_receiver_holds_it(self) -> None:
        first, received = self.exchange(ME, observations(10, 20))
        self.assertEqual((first.heard, received), (observations(10, 20), observations(10, 20)))
        self.exchange(OTHER, observations(5))
        later, received = self.exchange(ME, observations(30, 40))
        self.assertEqual((later.heard, later.ages_ms), ((), (30, 40)))
        self.assertEqual(received, observations(30, 40))

    def test_restart_of_an_instance_is_another_set(self) -> None:
        self.exchange_sets()
        hello, received = self.exchange(ME, observations(1, 2, incarnation=2))
        self.assertEqual(hello.heard, observations(1, 2, incarnation=2))
        self.assertEqual(received, hello.heard)

    def test_restarted_receiver_gets_the_full_set_again(self) -> None:
        self.exchange_sets()
        self.sets[OTHER] = GossipSets()
        _, received = self.exchange(ME, observations(1, 2))
        self.assertEqual(received, ())
        self.exchange(OTHER, observations(1, 2))
        _, received = self.exchange(ME, observations(3, 4))
        self.assertEqual(received, observations(3, 4))

    def test_lost_set_is_sent_again(self) -> None:
        self.exchange_sets()
        self.exchange(ME, observations(1, 2, 3), lost=True)
        _, received = self.exchange(ME, observations(4, 5, 6))
        self.assertEqual(received, observations(4, 5, 6))

    def test_hello_without_a_set_changes_nothing(self) -> None:
        self.exchange_sets()
        self.assertEqual(self.exchange(OTHER, ())[1], ())
        hello, _ = self.exchange(ME, observations(7, 8))
        self.assertEqual((hello.heard, hello.ages_ms), ((), (7, 8)))

    def test_held_set_is_sent_as_ages(self) -> None:
        observed = observations(*range(31))
        self.exchange(ME, observed)
        self.exchange(OTHER, observations(1))
        hello, _ = self.exchange(ME, observed)
        self.assertEqual((len(hello.heard), len(hello.ages_ms)), (0, 31))
