"""Automatic membership: joining, removal of unresponsive voters, and rejoining."""

import unittest

from nose2.tools import params

from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.consensus.role import Role
from tests.decisions.consensus.common import Cluster


def create_auto_join_cluster(initial_size: int, all_names: str) -> Cluster:
    """Return a cluster bootstrapped with its first instances; the others are blank and down."""
    cluster = Cluster(all_names, auto_join=True, quick_start=True)
    members = cluster.membership().members[:initial_size]
    for member in members:
        cluster[member.name].node.bootstrap(MembershipSet(members))
    for name in all_names[initial_size:]:
        cluster.down.add(name)
    cluster.settle()
    cluster.elect()
    return cluster


def voters(cluster: Cluster) -> str:
    """Return the names of the committed voters according to the leader."""
    state = cluster[cluster.elect()].node.state
    membership = state.history.at(state.commit_index).membership
    return "".join(sorted(member.name for member in membership.voters()))


class TestAutoMembership(unittest.TestCase):
    def test_a_fourth_instance_joins_automatically(self) -> None:
        cluster = create_auto_join_cluster(3, "abcd")
        cluster.propose(b"x")
        cluster.down.clear()
        cluster.run(3)
        self.assertEqual(voters(cluster), "abcd")
        self.assertEqual(cluster["d"].applied, [b"x"])

    @params((3, "abc", "abcd"), (4, "abcd", "abcde"))
    def test_an_unresponsive_voter_is_replaced_by_a_newcomer(
        self, initial_size: int, initial_names: str, all_names: str
    ) -> None:
        cluster = create_auto_join_cluster(initial_size, all_names)
        lost = next(name for name in initial_names if name != cluster.leader())
        cluster.down = {lost}
        cluster.run(12)
        self.assertEqual(voters(cluster), "".join(sorted(set(all_names) - {lost})))
        cluster.propose(b"x")
        cluster.run(1)
        self.assertEqual(cluster[all_names[-1]].applied, [b"x"])

    def test_three_voters_stay_three_without_a_newcomer(self) -> None:
        cluster = create_auto_join_cluster(3, "abc")
        cluster.down.add(next(name for name in "abc" if name != cluster.leader()))
        cluster.run(20)
        self.assertEqual(voters(cluster), "abc")

    def test_an_isolated_voter_rejoins_as_a_voter(self) -> None:
        cluster = create_auto_join_cluster(4, "abcd")
        isolated = next(name for name in "abcd" if name != cluster.leader())
        cluster.cut_off(isolated)
        cluster.run(10)
        self.assertEqual(voters(cluster), "".join(sorted(set("abcd") - {isolated})))
        cluster.propose(b"x")
        cluster.heal()
        cluster.run(5)
        self.assertEqual(voters(cluster), "abcd")
        self.assertEqual(cluster[isolated].applied, [b"x"])
        self.assertEqual(cluster[isolated].node.role, Role.FOLLOWER)

    def test_an_isolated_leader_that_returns_undoes_no_commit(self) -> None:
        cluster = create_auto_join_cluster(4, "abcd")
        old_leader = cluster.elect()
        cluster.cut_off(old_leader)
        cluster.run(10)
        cluster.propose(b"x")
        cluster.heal()
        cluster.run(5)
        self.assertEqual({tuple(cluster[name].applied) for name in "abcd"}, {(b"x",)})

    def test_a_newcomer_that_never_answers_does_not_vote(self) -> None:
        cluster = create_auto_join_cluster(3, "abcd")
        cluster.down.clear()
        leader = cluster.elect()
        cluster.cuts.add((leader, "d"))
        cluster.run(2)
        self.assertEqual(voters(cluster), "abc")

    def test_an_instance_with_an_emptied_folder_rejoins_under_its_name(self) -> None:
        cluster = create_auto_join_cluster(4, "abcd")
        name = next(name for name in "abcd" if name != cluster.leader())
        cluster.propose(b"x")
        cluster.wipe(name, f"{name}-2")
        cluster.run(5)
        self.assertEqual(voters(cluster), "abcd")
        self.assertEqual(cluster[name].applied, [b"x"])

    def test_the_first_election_after_a_start_is_fast(self) -> None:
        cluster = create_auto_join_cluster(3, "abc")
        for name in "abc":
            cluster[name].start(cluster.now)
        cluster.run(0.6)
        self.assertIsNotNone(cluster.leader())
