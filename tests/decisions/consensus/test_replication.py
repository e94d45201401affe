"""Replication: what may commit, how a member catches up, what a read sees."""

import unittest

from nose2.tools import params

from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.messages import AppendReply
from spindle_decisions.consensus.outbox import Outbox
from spindle_decisions.exceptions import NotLeaderError
from tests.decisions.consensus.common import Cluster, create_cluster


def reply(name: str, folder: str, cluster: Cluster, leader: str, match: int) -> AppendReply:
    """Return an acknowledgement of the newest round."""
    node = cluster[leader].node
    return AppendReply(name, folder, leader, node.term, True, match, 1)


class TestReplication(unittest.TestCase):
    def test_entry_of_an_earlier_term_does_not_commit_by_counting(self) -> None:
        cluster = create_cluster(3)
        old = LogEntry(2, 2, EntryKind.COMMAND, b"old")
        for name in ("a", "b"):
            cluster[name].disk.entries.append(old)
            cluster[name].start(cluster.now)
        cluster.cut_off("a")
        node = cluster["a"].node
        node.elections.start_vote()
        cluster.collect("a")
        node.elections.granted.add("b")
        node.elections.count_votes()
        cluster.collect("a")
        node.receive(cluster.now, reply("b", "b-1", cluster, "a", match=2))
        self.assertEqual(node.commit_index, 1)
        node.receive(cluster.now, reply("b", "b-1", cluster, "a", match=3))
        self.assertEqual(node.commit_index, 3)

    def test_leader_counts_itself_after_its_sync(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower = next(name for name in cluster.names if name != leader)
        node = cluster[leader].node
        cluster.auto_sync = False
        committed = node.commit_index
        place = node.propose(cluster.now, b"x")
        cluster.collect(leader)
        node.receive(
            cluster.now, reply(follower, f"{follower}-1", cluster, leader, match=place.index)
        )
        self.assertEqual(node.commit_index, committed)
        cluster[leader].sync(cluster.now)
        self.assertEqual(node.commit_index, place.index)

    def test_acknowledgement_leaves_after_the_sync(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower = next(name for name in cluster.names if name != leader)
        cluster.auto_sync = False
        cluster[leader].node.propose(cluster.now, b"x")
        for message in cluster[leader].node.poll().messages:
            cluster.deliver(message)
        sent = [m for m in cluster.network if m.sender == follower]
        self.assertEqual(sent, [])
        cluster[follower].sync(cluster.now)
        self.assertEqual(len(cluster[follower].node.poll().messages), 1)

    def test_acknowledgement_of_a_lost_folder_is_not_counted(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower = next(name for name in cluster.names if name != leader)
        cluster.cut_off(leader)
        node = cluster[leader].node
        place = node.propose(cluster.now, b"x")
        cluster.collect(leader)
        node.receive(cluster.now, reply(follower, "emptied", cluster, leader, place.index))
        self.assertLess(node.commit_index, place.index)

    @params(50, 5000)
    def test_long_absent_member_catches_up(self, entries: int) -> None:
        cluster = create_cluster(3, keep_entries=100)
        leader = cluster.elect()
        absent = next(name for name in cluster.names if name != leader)
        cluster.cut_off(absent)
        for _ in range(10):
            for number in range(entries // 10):
                cluster[leader].node.propose(cluster.now, b"%d" % number)
            cluster.settle()
        cluster[leader].take_snapshot()
        cluster.heal()
        cluster.run(1)
        self.assertEqual(cluster[absent].applied, cluster[leader].applied)
        self.assertEqual(len(cluster[absent].applied), entries)

    def test_divergent_tail_is_found_in_few_steps(self) -> None:
        cluster = create_cluster(3)
        first = cluster.elect()
        cluster.cut_off(first)
        for _ in range(1000):
            cluster[first].node.propose(cluster.now, b"lost")
        cluster.run(5)
        cluster.propose(b"kept")
        cluster.heal()
        before = len(cluster.network)
        cluster.run(0.3)
        self.assertEqual(before, 0)
        self.assertEqual(cluster[first].applied, [b"kept"])

    def test_read_waits_for_a_quorum_that_answered_after_it(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        cluster.propose(b"x")
        node = cluster[leader].node
        cluster.cut_off(leader)
        lonely_read = node.request_read(cluster.now)
        cluster.settle()
        self.assertEqual(cluster[leader].reads, [])
        cluster.heal()
        cluster.run(0.3)
        self.assertEqual([read.read_id for read in cluster[leader].reads], [lonely_read])
        self.assertEqual(cluster[leader].reads[0].index, node.commit_index)

    @params("propose", "request_read")
    def test_frozen_leader_acts_on_nothing_it_believed(self, act: str) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        node = cluster[leader].node
        cluster.down.add(leader)
        cluster.run(60)
        arguments = (b"x",) if act == "propose" else ()
        with self.assertRaises(NotLeaderError):
            getattr(node, act)(cluster.now, *arguments)

    def test_old_acknowledgements_prove_no_quorum_after_a_freeze(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        node = cluster[leader].node
        answers = [reply(n, f"{n}-1", cluster, leader, 2) for n in cluster.names if n != leader]
        for answer in answers:
            node.receive(cluster.now + 60, answer)
        with self.assertRaises(NotLeaderError):
            node.request_read(cluster.now + 60)

    def test_messages_that_waited_through_a_freeze_prove_no_quorum(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower = next(name for name in cluster.names if name != leader)
        cluster[leader].node.tick(cluster.now + 0.2)
        waited = [m for m in cluster[leader].node.poll().messages if m.recipient == follower]
        cluster.down.add(follower)
        cluster.run(60)
        cluster.down.discard(follower)
        cluster.deliver(waited[0])
        self.assertTrue(cluster[follower].node.is_stale(cluster.now))
        cluster.run(1)
        self.assertFalse(cluster[follower].node.is_stale(cluster.now))


class TestOutbox(unittest.TestCase):
    def test_entry_cut_off_during_its_sync_is_not_persisted(self) -> None:
        outbox = Outbox(1)
        for index in (2, 3, 4):
            outbox.append(LogEntry(index, 2, EntryKind.NOOP))
        batch = outbox.take_batch(0.0)
        outbox.truncate(3)
        outbox.append(LogEntry(3, 3, EntryKind.NOOP))
        outbox.persisted(batch.seq, 3)
        self.assertEqual(outbox.persisted_index, 2)
        following = outbox.take_batch(0.0)
        self.assertEqual((following.truncate_from, len(following.entries)), (3, 1))
        outbox.persisted(following.seq, 3)
        self.assertEqual(outbox.persisted_index, 3)

    def test_what_arrives_during_a_sync_gathers_into_one_batch(self) -> None:
        outbox = Outbox(1)
        outbox.append(LogEntry(2, 1, EntryKind.NOOP))
        first = outbox.take_batch(0.0)
        for index in range(3, 100):
            outbox.append(LogEntry(index, 1, EntryKind.NOOP))
        self.assertIsNone(outbox.take_batch(0.0))
        outbox.persisted(first.seq, 1)
        self.assertEqual(len(outbox.take_batch(0.0).entries), 97)
