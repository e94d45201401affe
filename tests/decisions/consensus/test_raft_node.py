"""Election, replication and commit through the interface of `RaftNode`."""

import unittest

from nose2.tools import params

from spindle_decisions.consensus.role import Role
from spindle_decisions.exceptions import NotLeaderError
from tests.decisions.consensus.common import create_cluster


class TestRaftNode(unittest.TestCase):
    @params(1, 3, 5, 7)
    def test_elects_replicates_and_commits(self, size: int) -> None:
        cluster = create_cluster(size)
        leader = cluster.elect()
        commands = [b"%d" % number for number in range(50)]
        for command in commands:
            cluster.propose(command)
        cluster.run(0.3)
        for name in cluster.names:
            self.assertEqual(cluster[name].applied, commands)
            self.assertEqual(cluster[name].node.leader, leader)
            self.assertFalse(cluster[name].node.is_stale(cluster.now))

    def test_follower_names_the_leader_when_it_refuses(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower = next(name for name in cluster.names if name != leader)
        for action in (
            lambda node: node.propose(cluster.now, b"x"),
            lambda node: node.request_read(cluster.now),
        ):
            with self.assertRaises(NotLeaderError) as caught:
                action(cluster[follower].node)
            self.assertEqual(caught.exception.leader, leader)

    def test_blank_nodes_never_campaign(self) -> None:
        cluster = create_cluster(3)
        cluster.wipe("a", "a-2")
        cluster.wipe("b", "b-2")
        cluster.wipe("c", "c-2")
        cluster.run(10)
        self.assertEqual([cluster[name].node.role for name in "abc"], [Role.BLANK] * 3)
