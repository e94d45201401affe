"""Replication: commit rule, catch-up of members, linearizable reads, outbox."""

import unittest

from nose2.tools import params

from spindle_decisions.consensus.entry_kind import EntryKind
from spindle_decisions.consensus.log_entry import LogEntry
from spindle_decisions.consensus.messages import AppendReply
from spindle_decisions.consensus.outbox import Outbox
from spindle_decisions.exceptions import NotLeaderError
from tests.decisions.consensus.common import Cluster, create_cluster


def append_reply(name: str, folder: str, cluster: Cluster, leader: str, match: int) -> AppendReply:
    """Return an acknowledgement of heartbeat round 1."""
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
        node.elections.granted_by.add("b")
        node.elections.count_votes()
        cluster.collect("a")
        node.receive(cluster.now, append_reply("b", "b-1", cluster, "a", match=2))
        self.assertEqual(node.commit_index, 1)
        node.receive(cluster.now, append_reply("b", "b-1", cluster, "a", match=3))
        self.assertEqual(node.commit_index, 3)

    def test_leader_counts_itself_after_its_sync(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower = next(name for name in cluster.names if name != leader)
        node = cluster[leader].node
        cluster.auto_sync = False
        committed = node.commit_index
        position = node.propose(cluster.now, b"x")
        cluster.collect(leader)
        node.receive(
            cluster.now,
            append_reply(follower, f"{follower}-1", cluster, leader, match=position.index),
        )
        self.assertEqual(node.commit_index, committed)
        cluster[leader].sync(cluster.now)
        self.assertEqual(node.commit_index, position.index)

    def test_acknowledgement_is_sent_after_the_sync(self) -> None:
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
        position = node.propose(cluster.now, b"x")
        cluster.collect(leader)
        node.receive(
            cluster.now, append_reply(follower, "emptied", cluster, leader, position.index)
        )
        self.assertLess(node.commit_index, position.index)

    @params(50, 5000)
    def test_long_absent_member_catches_up(self, entries: int) -> None:
        cluster = create_cluster(3, retained_log_entries=100)
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

    def test_divergent_tail_is_replaced_within_a_few_round_trips(self) -> None:
        cluster = create_cluster(3)
        old_leader = cluster.elect()
        cluster.cut_off(old_leader)
        for _ in range(1000):
            cluster[old_leader].node.propose(cluster.now, b"lost")
        cluster.run(5)
        cluster.propose(b"kept")
        cluster.heal()
        before = len(cluster.network)
        cluster.run(0.3)
        self.assertEqual(before, 0)
        self.assertEqual(cluster[old_leader].applied, [b"kept"])

    def test_read_waits_for_a_quorum_that_answered_after_it(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        cluster.propose(b"x")
        node = cluster[leader].node
        cluster.cut_off(leader)
        read_id = node.request_read(cluster.now)
        cluster.settle()
        self.assertEqual(cluster[leader].reads, [])
        cluster.heal()
        cluster.run(0.3)
        self.assertEqual([read.read_id for read in cluster[leader].reads], [read_id])
        self.assertEqual(cluster[leader].reads[0].index, node.commit_index)

    @params("propose", "request_read")
    def test_resumed_leader_steps_down_before_it_acts(self, method_name: str) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        node = cluster[leader].node
        cluster.down.add(leader)
        cluster.run(60)
        arguments = (b"x",) if method_name == "propose" else ()
        with self.assertRaises(NotLeaderError):
            getattr(node, method_name)(cluster.now, *arguments)

    def test_old_acknowledgements_prove_no_quorum_after_a_suspension(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        node = cluster[leader].node
        answers = [
            append_reply(n, f"{n}-1", cluster, leader, 2) for n in cluster.names if n != leader
        ]
        for answer in answers:
            node.receive(cluster.now + 60, answer)
        with self.assertRaises(NotLeaderError):
            node.request_read(cluster.now + 60)

    def test_messages_queued_during_a_suspension_prove_no_quorum(self) -> None:
        cluster = create_cluster(3)
        leader = cluster.elect()
        follower = next(name for name in cluster.names if name != leader)
        cluster[leader].node.tick(cluster.now + 0.2)
        queued = [m for m in cluster[leader].node.poll().messages if m.recipient == follower]
        cluster.down.add(follower)
        cluster.run(60)
        cluster.down.discard(follower)
        cluster.deliver(queued[0])
        self.assertTrue(cluster[follower].node.is_stale(cluster.now))
        cluster.run(1)
        self.assertFalse(cluster[follower].node.is_stale(cluster.now))


class TestOutbox(unittest.TestCase):
    def test_entry_truncated_during_its_sync_is_not_persisted(self) -> None:
        outbox = Outbox(1)
        for index in (2, 3, 4):
            outbox.append(LogEntry(index, 2, EntryKind.NOOP))
        batch = outbox.take_batch(0.0)
        outbox.truncate(3)
        outbox.append(LogEntry(3, 3, EntryKind.NOOP))
        outbox.on_batch_persisted(batch.seq, 3)
        self.assertEqual(outbox.persisted_index, 2)
        second_batch = outbox.take_batch(0.0)
        self.assertEqual((second_batch.truncate_from, len(second_batch.entries)), (3, 1))
        outbox.on_batch_persisted(second_batch.seq, 3)
        self.assertEqual(outbox.persisted_index, 3)

    def test_entries_appended_during_a_sync_go_into_one_batch(self) -> None:
        outbox = Outbox(1)
        outbox.append(LogEntry(2, 1, EntryKind.NOOP))
        first_batch = outbox.take_batch(0.0)
        for index in range(3, 100):
            outbox.append(LogEntry(index, 1, EntryKind.NOOP))
        self.assertIsNone(outbox.take_batch(0.0))
        outbox.on_batch_persisted(first_batch.seq, 1)
        self.assertEqual(len(outbox.take_batch(0.0).entries), 97)
