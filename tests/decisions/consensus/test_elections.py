"""Elections: sync before vote, pre-vote, check-quorum, lost folders."""

import unittest

from nose2.tools import params

from spindle_decisions.consensus.messages import PreVote, Vote, VoteReply
from spindle_decisions.consensus.raft_event_kind import RaftEventKind
from spindle_decisions.consensus.role import Role
from tests.decisions.consensus.common import create_cluster


class TestElections(unittest.TestCase):
    def test_vote_is_sent_after_its_sync(self) -> None:
        cluster = create_cluster(3)
        cluster.auto_sync = False
        node = cluster["b"].node
        node.receive(cluster.now, Vote("a", "a-1", "b", 2, 1, 1))
        ready = node.poll()
        self.assertEqual(ready.messages, ())
        self.assertEqual(ready.batch.hard_state.vote, "a")
        node.on_batch_persisted(cluster.now, ready.batch.seq)
        self.assertEqual([m.granted for m in node.poll().messages], [True])

    def test_own_vote_counts_after_its_sync(self) -> None:
        cluster = create_cluster(1)
        cluster.auto_sync = False
        cluster.run(3)
        self.assertEqual(cluster["a"].node.role, Role.CANDIDATE)
        cluster["a"].sync(cluster.now)
        self.assertEqual(cluster["a"].node.role, Role.LEADER)

    def test_second_candidate_of_a_term_gets_no_vote_after_a_restart(self) -> None:
        cluster = create_cluster(3)
        cluster.deliver(Vote("a", "a-1", "b", 2, 1, 1))
        cluster["b"].start(cluster.now)
        cluster.network.clear()
        cluster.deliver(Vote("c", "c-1", "b", 2, 1, 1))
        self.assertEqual([m.granted for m in cluster.network], [False])

    @params(1.5, 60.0)
    def test_return_from_isolation_does_not_disrupt_the_leader(self, isolated_s: float) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        term = cluster[leader].node.term
        isolated = next(name for name in cluster.names if name != leader)
        cluster.cut_off(isolated)
        cluster.run(isolated_s)
        cluster.propose(b"while away")
        self.assertEqual(cluster[isolated].node.is_stale(cluster.now), isolated_s > 2.0)
        cluster.heal()
        cluster.run(3)
        self.assertEqual((cluster.leader(), cluster[leader].node.term), (leader, term))
        self.assertEqual(cluster[isolated].applied, [b"while away"])
        self.assertNotIn(RaftEventKind.LEADER_LOST, cluster.event_kinds(leader))

    def test_follower_of_a_live_leader_refuses_votes(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower, other = (name for name in cluster.names if name != leader)
        term = cluster[leader].node.term
        cluster[follower].node.receive(
            cluster.now, Vote(other, f"{other}-1", follower, term + 5, 99, 99)
        )
        self.assertEqual(cluster[follower].node.term, term)

    def test_leader_without_quorum_steps_down(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        cluster.cut_off(leader)
        cluster.run(1.5)
        self.assertNotEqual(cluster[leader].node.role, Role.LEADER)
        self.assertIn(RaftEventKind.LEADER_LOST, cluster.event_kinds(leader))
        cluster.run(1.0)
        self.assertTrue(cluster[leader].node.is_stale(cluster.now))

    def test_leader_whose_disk_hangs_steps_down(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        cluster.auto_sync = False
        cluster[leader].node.propose(cluster.now, b"x")
        cluster.run(2.5)
        self.assertNotEqual(cluster[leader].node.role, Role.LEADER)

    def test_blank_folder_neither_votes_nor_campaigns(self) -> None:
        cluster = create_cluster(3)
        cluster.wipe("b", "b-2")
        node = cluster["b"].node
        node.receive(cluster.now, PreVote("a", "a-1", "b", 9, 99, 9))
        node.receive(cluster.now, Vote("a", "a-1", "b", 9, 99, 9))
        self.assertEqual((node.poll().messages, node.term), ((), 0))

    def test_vote_of_a_lost_folder_is_not_counted(self) -> None:
        cluster = create_cluster(3)
        cluster.cut_off("a")
        cluster["a"].node.elections.start_vote()
        cluster.collect("a")
        term = cluster["a"].node.term
        cluster["a"].node.receive(cluster.now, VoteReply("b", "b-2", "a", term, True))
        self.assertEqual(cluster["a"].node.role, Role.CANDIDATE)
        cluster["a"].node.receive(cluster.now, VoteReply("b", "b-1", "a", term, True))
        self.assertEqual(cluster["a"].node.role, Role.LEADER)
