"""An owner that did not respond is asked again only after it has answered a probe."""

import unittest

from nose2.tools import params

from spindle_decisions.routing import const
from spindle_decisions.routing.owner_liveness import OwnerLiveness
from spindle_decisions.wire.fleet_instance import FleetInstance

NOW = 100.0
PEERS = tuple(
    FleetInstance(f"front-{number}", "entry", "rennes-a", f"tcp://10.0.0.{number}:1", 1)
    for number in range(4)
)


class TestOwnerLiveness(unittest.TestCase):
    def setUp(self) -> None:
        self.liveness = OwnerLiveness("front-0")

    def usable(self) -> list[str]:
        return [peer.name for peer in self.liveness.usable(PEERS)]

    def test_suspected_owner_is_not_used_until_it_answers_a_probe(self) -> None:
        self.assertTrue(self.liveness.suspect("front-2", NOW))
        self.assertEqual(self.usable(), ["front-0", "front-1", "front-3"])
        self.assertEqual(self.liveness.due_probes(NOW), ["front-2"])
        self.assertFalse(self.liveness.record_reply("front-2"))
        self.assertEqual(self.usable(), [peer.name for peer in PEERS])
        self.assertIsNone(self.liveness.next_probe_at())

    def test_no_time_alone_makes_it_usable(self) -> None:
        self.liveness.suspect("front-2", NOW)
        now = NOW
        for _ in range(100):
            next_at = self.liveness.next_probe_at()
            assert next_at is not None
            now = max(now, next_at)
            self.liveness.due_probes(now)
        self.assertGreater(now, NOW + 60.0)
        self.assertNotIn("front-2", self.usable())

    def test_pauses_between_probes_grow_to_the_maximum(self) -> None:
        self.liveness.suspect("front-2", NOW)
        pauses = []
        for _ in range(6):
            at = self.liveness.next_probe_at()
            assert at is not None
            self.liveness.due_probes(at)
            next_at = self.liveness.next_probe_at()
            assert next_at is not None
            pauses.append(round(next_at - at, 3))
        self.assertEqual(pauses[0], const.OWNER_PROBE_MIN_PAUSE_S)
        self.assertEqual(pauses[-1], const.OWNER_PROBE_MAX_PAUSE_S)
        self.assertEqual(pauses, sorted(pauses))

    def test_owner_is_silent_once_it_has_answered_no_probe_for_a_while(self) -> None:
        self.liveness.suspect("front-2", NOW)
        self.assertEqual(self.liveness.newly_silent(NOW + const.OWNER_SILENCE_S - 0.01), [])
        self.assertEqual(self.liveness.newly_silent(NOW + const.OWNER_SILENCE_S), ["front-2"])
        self.assertEqual(self.liveness.newly_silent(NOW + 2 * const.OWNER_SILENCE_S), [])
        self.assertEqual(self.liveness.silent(), {"front-2"})
        self.assertTrue(self.liveness.record_reply("front-2"))
        self.assertEqual(self.liveness.silent(), frozenset())

    def test_slow_owner_is_never_silent(self) -> None:
        for round_number in range(20):
            now = NOW + round_number
            self.liveness.suspect("front-2", now)
            self.assertEqual(self.liveness.newly_silent(now + 0.3), [])
            self.assertFalse(self.liveness.record_reply("front-2"))

    @params("front-0", "front-2")
    def test_repeated_or_own_suspicion_is_not_new(self, name: str) -> None:
        self.liveness.suspect("front-2", NOW)
        self.liveness.due_probes(NOW)
        next_at = self.liveness.next_probe_at()
        self.assertFalse(self.liveness.suspect(name, NOW + 0.1))
        self.assertEqual(self.liveness.next_probe_at(), next_at)
        self.assertIn("front-0", self.usable())

    def test_owner_that_has_left_is_forgotten(self) -> None:
        self.liveness.suspect("front-2", NOW)
        self.liveness.retain(["front-0", "front-1"])
        self.assertIsNone(self.liveness.next_probe_at())
