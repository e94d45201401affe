"""Tests of the choice of the snapshot, the replica and the service for a key."""

import random
import unittest

from nose2.tools import params

from spindle_decisions.serving.default_policy import DefaultPolicy, PolicyFeatures
from spindle_decisions.serving.service_hashing import service_for_key
from spindle_decisions.serving.snapshot_id import SnapshotId
from spindle_decisions.serving.snapshot_selection import choose_snapshot
from tests.decisions.serving.common import (
    AWAY,
    HERE,
    NEW,
    NEXT_EPOCH,
    OLD,
    catalog_index,
    upstream_state,
)

LATER_EPOCH = SnapshotId(3, 1)


class TestSnapshotSelection(unittest.TestCase):
    @params(
        ("newest complete", {"s1": {OLD, NEW}, "s2": {OLD, NEW}, "s3": {OLD, NEW}}, NEW, True),
        ("one lags", {"s1": {OLD, NEW}, "s2": {OLD, NEW}, "s3": {OLD}}, OLD, True),
        ("one holds none", {"s1": {NEW}, "s2": {NEW}}, NEW, False),
        ("larger fraction", {"s1": {OLD, NEW}, "s2": {OLD}}, OLD, False),
        ("newer of equals", {"s1": {OLD, NEW}}, NEW, False),
        (
            "epoch not complete yet",
            {"s1": {OLD, NEXT_EPOCH}, "s2": {OLD, NEXT_EPOCH}, "s3": {OLD}, "s3x": {NEXT_EPOCH}},
            OLD,
            True,
        ),
        (
            "epoch complete without the retired service",
            {name: {NEXT_EPOCH} for name in ("s1", "s2", "s3x", "s3y")},
            NEXT_EPOCH,
            True,
        ),
        (
            "a retired service does not replace a new one",
            {name: {NEXT_EPOCH} for name in ("s1", "s2", "s3", "s3x")},
            NEXT_EPOCH,
            False,
        ),
        ("unknown epoch", {name: {LATER_EPOCH} for name in ("s1", "s2", "s3")}, None, False),
        ("nothing held", {}, None, False),
    )
    def test_choice(
        self,
        _name: str,
        held: dict[str, set[SnapshotId]],
        chosen: SnapshotId | None,
        is_complete: bool,
    ) -> None:
        selection = choose_snapshot(
            catalog_index(epoch=2), "comptoir", lambda name: held.get(name, set())
        )
        self.assertEqual(chosen, selection and selection.snapshot)
        self.assertEqual(is_complete, bool(selection and selection.is_complete))


class TestReplicaChoice(unittest.TestCase):
    """Compares s1-a, with one unfavourable property, with an idle and fast replica."""

    @params(
        ("own requests in flight", {"in_flight": 3}, False),
        ("recently slow", {"latency_s": 0.2}, False),
        ("slow long ago", {"latency_s": 0.2, "last_sample_at": -30.0}, True),
        ("in another data centre", {"data_center": AWAY}, False),
        ("in slow start", {"in_use_since": -1.0}, False),
        ("recent load report", {"reported": 6}, False),
        ("old load report", {"reported": 6, "reported_at": -30.0}, True),
    )
    def test_choice(self, _name: str, overrides: dict[str, float], may_win: bool) -> None:
        policy, rng = DefaultPolicy(HERE, PolicyFeatures()), random.Random(1)
        replica = upstream_state("s1-a", 0.0, str(overrides.get("data_center", HERE)))
        idle = upstream_state("s1-b", 0.0)
        for each in (replica, idle):
            each.latency.observe(0.02, 0.0)
        replica.in_flight = int(overrides.get("in_flight", 0))
        replica.in_use_since = overrides.get("in_use_since", replica.in_use_since)
        replica.latency.value_s = overrides.get("latency_s", 0.02)
        replica.latency.last_sample_at = overrides.get("last_sample_at", 0.0)
        if "reported" in overrides:
            reported_at = overrides.get("reported_at", 0.0)
            replica.load.report(int(overrides["reported"]), 2, reported_at)
        wins = sum(policy.choose_replica([replica, idle], 0.0, rng) is replica for _ in range(50))
        self.assertEqual(may_win, wins > 0)

    def test_false_load_report_shifts_only_some_requests(self) -> None:
        policy, rng = DefaultPolicy(HERE, PolicyFeatures()), random.Random(1)
        misreporting, honest = upstream_state("s1-a"), upstream_state("s1-b")
        misreporting.load.report(1000, 2, 0.0)
        for _ in range(12):
            policy.choose_replica([misreporting, honest], 0.0, rng).in_flight += 1
        self.assertGreaterEqual(misreporting.in_flight, 3)


class TestServiceForKey(unittest.TestCase):
    def test_adding_a_service_moves_keys_only_to_it(self) -> None:
        before = ["a", "b", "c"]
        keys = [f"key-{number}" for number in range(300)]
        moved = {
            key for key in keys if service_for_key(key, before) != service_for_key(key, "abcd")
        }
        self.assertTrue(30 < len(moved) < 150, len(moved))
        self.assertEqual({"d"}, {service_for_key(key, "abcd") for key in moved})
