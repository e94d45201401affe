"""Membership changes, lost folders and operator actions."""

import unittest

from nose2.tools import params

from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_change import MembershipChange
from spindle_decisions.consensus.membership_change_kind import MembershipChangeKind
from spindle_decisions.consensus.membership_entry import encode_membership
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.consensus.role import Role
from spindle_decisions.exceptions import MembershipChangeError
from tests.decisions.consensus.common import Cluster, create_cluster

REMOVE = MembershipChangeKind.REMOVE


def followers(cluster: Cluster) -> list[str]:
    """Return the names of all instances except the leader."""
    return [name for name in cluster.names if name != cluster.elect()]


def is_repaired(cluster: Cluster, name: str, folder_id: str) -> bool:
    """Return whether the folder is a voter in the committed membership of the leader."""
    state = cluster[cluster.elect()].node.state
    indexed = state.history.at(state.commit_index)
    return Member(name, folder_id, True) in indexed.membership.members


class TestRepair(unittest.TestCase):
    def test_second_loss_right_after_the_repair_loses_no_entry(self) -> None:
        cluster = create_cluster(3)
        first, second = followers(cluster)
        cluster.propose(b"before")
        cluster.wipe(first, f"{first}-2")
        while not is_repaired(cluster, first, f"{first}-2"):
            cluster.run(0.02)
            self.assertLess(cluster.now, 130, "not repaired")
        lost = cluster.elect()
        for name in (lost, second):
            cluster.wipe(name, f"{name}-3")
            cluster.run(12)
            self.assertTrue(is_repaired(cluster, name, f"{name}-3"))
            cluster.propose(b"after " + name.encode())
        cluster.run(1)
        for name in cluster.names:
            self.assertEqual(len(cluster[name].applied), 3)

    def test_learner_is_promoted_only_with_the_whole_log(self) -> None:
        cluster = create_cluster(3)
        name = followers(cluster)[0]
        leader = cluster.elect()
        cluster.wipe(name, f"{name}-2")
        cluster.cuts.add((leader, name))
        cluster.run(8)
        node = cluster[leader].node
        self.assertEqual(node.membership.find(name), Member(name, f"{name}-2", False))
        promotion = MembershipChange(MembershipChangeKind.PROMOTE, name)
        with self.assertRaisesRegex(MembershipChangeError, "whole log"):
            node.propose_membership(cluster.now, promotion)
        progress = node.progress[name]
        progress.match_index, before = node.last_index, progress.match_index
        with self.assertRaisesRegex(MembershipChangeError, "not heard"):
            node.propose_membership(cluster.now, promotion)
        progress.match_index = before
        cluster.heal()
        cluster.run(3)
        self.assertTrue(is_repaired(cluster, name, f"{name}-2"))

    def test_live_member_is_not_replaced(self) -> None:
        cluster = create_cluster(3)
        name = followers(cluster)[0]
        leader = cluster.elect()
        other_node = Cluster(name)[name]
        other_node.node.state.folder_id = "impostor"
        other_node.node.state.settings = cluster[name].settings
        other_node.node.tick(cluster.now)
        for request in other_node.node.poll().messages:
            cluster.deliver(request)
        self.assertTrue(is_repaired(cluster, name, f"{name}-1"))
        self.assertIn(RaftEventKind.REFUSED, cluster.event_kinds(leader))

    def test_learner_whose_admission_was_cut_off_asks_again(self) -> None:
        cluster = create_cluster(3)
        name = followers(cluster)[0]
        snapshot = cluster[name].disk.snapshot
        cluster.wipe(name, f"{name}-2")
        others = tuple(m for m in cluster.membership().members if m.name != name)
        admitted = MembershipSet((*others, Member(name, f"{name}-2", False)))
        data = encode_membership(admitted, "admitted by a leader that is gone")
        cluster[name].disk.snapshot = snapshot
        cluster[name].disk.entries = [LogEntry(2, 1, EntryKind.MEMBERSHIP, data)]
        cluster[name].start(cluster.now)
        self.assertEqual(cluster[name].node.role, Role.LEARNER)
        cluster.run(10)
        self.assertTrue(is_repaired(cluster, name, f"{name}-2"))

    def test_old_folder_that_returns_joins_as_a_learner_first(self) -> None:
        cluster = create_cluster(3)
        name = followers(cluster)[0]
        old_disk = cluster[name].disk
        cluster.wipe(name, f"{name}-2")
        cluster.run(8)
        cluster.propose(b"x")
        cluster[name].disk = old_disk
        cluster[name].start(cluster.now)
        term = cluster[cluster.elect()].node.term
        cluster.run(1)
        self.assertNotEqual(cluster[name].node.role, Role.LEADER)
        cluster.run(8)
        self.assertTrue(is_repaired(cluster, name, f"{name}-1"))
        self.assertEqual(cluster[name].applied, [b"x"])
        self.assertEqual(cluster[cluster.elect()].node.term, term)


class TestMembershipChanges(unittest.TestCase):
    def test_one_change_at_a_time_and_none_before_the_term_has_committed(self) -> None:
        cluster = create_cluster(5)
        node = cluster[cluster.elect()].node
        first, second = followers(cluster)[:2]
        node.propose_membership(cluster.now, MembershipChange(REMOVE, first))
        with self.assertRaises(MembershipChangeError):
            node.propose_membership(cluster.now, MembershipChange(REMOVE, second))
        cluster.settle()
        node.state.leader_state.first_index = node.last_index + 1
        with self.assertRaises(MembershipChangeError):
            node.propose_membership(cluster.now, MembershipChange(REMOVE, second))

    def test_removed_member_stops_campaigning(self) -> None:
        cluster = create_cluster(3)
        name = followers(cluster)[0]
        leader = cluster.elect()
        term = cluster[leader].node.term
        cluster.cut_off(name)
        cluster[leader].node.propose_membership(cluster.now, MembershipChange(REMOVE, name))
        cluster.run(1)
        cluster.heal()
        cluster.run(5)
        self.assertTrue(cluster[name].node.state.removed)
        self.assertEqual(cluster[name].node.role, Role.FOLLOWER)
        self.assertEqual((cluster.leader(), cluster[leader].node.term), (leader, term))

    def test_removed_leader_is_succeeded_by_another(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        cluster[leader].node.propose_membership(cluster.now, MembershipChange(REMOVE, leader))
        cluster.run(5)
        self.assertNotIn(cluster.elect(), (None, leader))

    @params("unknown member", "last live majority", "eighth member")
    def test_invalid_change_is_refused(self, case: str) -> None:
        cluster = create_cluster(7 if case == "eighth member" else 3)
        node = cluster[cluster.elect()].node
        change = MembershipChange(REMOVE, "nobody")
        if case == "last live majority":
            dead, other = followers(cluster)
            cluster.down.add(dead)
            cluster.run(3)
            change = MembershipChange(REMOVE, other)
        if case == "eighth member":
            change = MembershipChange(MembershipChangeKind.ADD_LEARNER, "h", "h-1")
        with self.assertRaises(MembershipChangeError):
            node.propose_membership(cluster.now, change)


class TestOperatorActions(unittest.TestCase):
    def test_bootstrap_can_be_repeated_but_not_changed(self) -> None:
        cluster = create_cluster(3)
        node = cluster["a"].node
        node.bootstrap(cluster.membership())
        single_member = MembershipSet((Member("a", "a-1", True),))
        with self.assertRaises(MembershipChangeError):
            node.bootstrap(single_member)

    def test_forced_membership_is_refused_while_a_quorum_is_reachable(self) -> None:
        cluster = create_cluster(3)
        single_member = MembershipSet((Member("a", "a-1", True),))
        cluster.elect()
        with self.assertRaises(MembershipChangeError):
            cluster["a"].node.force_membership(cluster.now, single_member, "test")

    def test_forced_single_member_continues_and_the_reason_is_logged(self) -> None:
        cluster = create_cluster(3)
        cluster.propose(b"kept")
        cluster.run(0.5)
        cluster.down.update("bc")
        cluster.run(5)
        single_member = MembershipSet((Member("a", "a-1", True),))
        cluster["a"].node.force_membership(cluster.now, single_member, "two data centres burnt")
        cluster.propose(b"after")
        self.assertEqual(cluster["a"].applied, [b"kept", b"after"])
        self.assertIn(RaftEventKind.MEMBERS_FORCED, cluster.event_kinds("a"))
        logged = b"".join(entry.data for entry in cluster["a"].disk.entries)
        self.assertIn(b"two data centres burnt", logged)

    def test_forced_membership_keeps_a_longer_log(self) -> None:
        cluster = create_cluster(5)
        cluster.elect()
        cluster.cut_off("a")
        cluster.run(3)
        cluster.propose(b"a lacks this")
        cluster.run(1)
        cluster.down.update("cde")
        cluster.heal()
        cluster.run(5)
        two_members = MembershipSet((Member("a", "a-1", True), Member("b", "b-1", True)))
        cluster["a"].node.force_membership(cluster.now, two_members, "test")
        cluster.run(3)
        self.assertIsNone(cluster.leader())
        cluster["b"].node.force_membership(cluster.now, two_members, "test")
        cluster.run(3)
        self.assertEqual(cluster["a"].applied, [b"a lacks this"])
