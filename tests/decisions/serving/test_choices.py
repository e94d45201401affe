"""Choice of snapshot, replica and owner."""

import random
import unittest

from nose2.tools import params

from spindle_decisions.serving.service_owner import service_owner
from spindle_decisions.serving.snapshot_choice import choose_snapshot
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.tier_policy import TierPolicy, TierSwitches
from tests.decisions.serving.common import AWAY, HERE, NEW, NEXT_EPOCH, OLD, catalog, state

LATER_EPOCH = SnapshotId(3, 1)


class TestSnapshotChoice(unittest.TestCase):
    @params(
        ("newest whole", {"s1": {OLD, NEW}, "s2": {OLD, NEW}, "s3": {OLD, NEW}}, NEW, True),
        ("one lags", {"s1": {OLD, NEW}, "s2": {OLD, NEW}, "s3": {OLD}}, OLD, True),
        ("one lost", {"s1": {NEW}, "s2": {NEW}}, NEW, False),
        ("larger share", {"s1": {OLD, NEW}, "s2": {OLD}}, OLD, False),
        ("newer of equals", {"s1": {OLD, NEW}}, NEW, False),
        (
            "epoch not whole yet",
            {"s1": {OLD, NEXT_EPOCH}, "s2": {OLD, NEXT_EPOCH}, "s3": {OLD}, "s3x": {NEXT_EPOCH}},
            OLD,
            True,
        ),
        (
            "epoch whole without the retired",
            {name: {NEXT_EPOCH} for name in ("s1", "s2", "s3x", "s3y")},
            NEXT_EPOCH,
            True,
        ),
        (
            "a retired service does not stand in for a new one",
            {name: {NEXT_EPOCH} for name in ("s1", "s2", "s3", "s3x")},
            NEXT_EPOCH,
            False,
        ),
        ("unknown epoch", {name: {LATER_EPOCH} for name in ("s1", "s2", "s3")}, None, False),
        ("nothing held", {}, None, False),
    )
    def test_choice(
        self, _name: str, held: dict[str, set[SnapshotId]], chosen: SnapshotId | None, whole: bool
    ) -> None:
        found = choose_snapshot(catalog(epoch=2), "comptoir", lambda name: held.get(name, set()))
        self.assertEqual(chosen, found and found.snapshot)
        self.assertEqual(whole, bool(found and found.whole))


class TestReplicaChoice(unittest.TestCase):
    """The replica s1-a is compared with an idle, fast one."""

    @params(
        ("own requests in flight", {"inflight": 3}, False),
        ("slow of late", {"latency_s": 0.2}, False),
        ("slow long ago", {"latency_s": 0.2, "seen_at": -30.0}, True),
        ("farther away", {"data_center": AWAY}, False),
        ("just taken into use", {"since": -1.0}, False),
        ("fresh report of load", {"reported": 6}, False),
        ("old report of load", {"reported": 6, "reported_at": -30.0}, True),
    )
    def test_choice(self, _name: str, trouble: dict[str, float], may_win: bool) -> None:
        policy, rng = TierPolicy(HERE, TierSwitches()), random.Random(1)
        troubled = state("s1-a", 0.0, str(trouble.get("data_center", HERE)))
        idle = state("s1-b", 0.0)
        for each in (troubled, idle):
            each.latency.observe(0.02, 0.0)
        troubled.inflight = int(trouble.get("inflight", 0))
        troubled.since = trouble.get("since", troubled.since)
        troubled.latency.value_s = trouble.get("latency_s", 0.02)
        troubled.latency.seen_at = trouble.get("seen_at", 0.0)
        if "reported" in trouble:
            reported_at = trouble.get("reported_at", 0.0)
            troubled.load.report(int(trouble["reported"]), 2, reported_at)
        wins = sum(policy.choose([troubled, idle], 0.0, rng) is troubled for _ in range(50))
        self.assertEqual(may_win, wins > 0)

    def test_lying_load_shifts_part_only(self) -> None:
        policy, rng = TierPolicy(HERE, TierSwitches()), random.Random(1)
        liar, honest = state("s1-a"), state("s1-b")
        liar.load.report(1000, 2, 0.0)
        for _ in range(12):
            policy.choose([liar, honest], 0.0, rng).inflight += 1
        self.assertGreaterEqual(liar.inflight, 3)


class TestOwner(unittest.TestCase):
    def test_adding_a_service_moves_keys_only_to_it(self) -> None:
        before = ["a", "b", "c"]
        keys = [f"key-{number}" for number in range(300)]
        moved = {key for key in keys if service_owner(key, before) != service_owner(key, "abcd")}
        self.assertTrue(30 < len(moved) < 150, len(moved))
        self.assertEqual({"d"}, {service_owner(key, "abcd") for key in moved})
