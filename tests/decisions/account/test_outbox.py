"""Tests of the outbox and the encoding of minute summaries."""

import unittest

from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.minute_summary import (
    MAX_SUMMARY_BYTES,
    MinuteSummary,
    decode_summary,
    encode_summary,
)
from spindle_decisions.account.named_count import NamedCount
from spindle_decisions.account.summary_outbox import (
    MAX_IN_FLIGHT_BYTES,
    MAX_PENDING_MINUTES,
    SummaryOutbox,
)


class TestOutbox(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = SummaryOutbox(("first", "second"))
        self.outbox.on_ack(-1, 1)

    def test_in_flight_bytes_are_bounded(self) -> None:
        for minute in range(100):
            self.outbox.add(minute, 1, b"x" * 1000)
        sent = sum(len(message.data) for message in self.outbox.take_due(0.0))
        self.assertLessEqual(sent, MAX_IN_FLIGHT_BYTES)
        self.assertEqual(self.outbox.take_due(0.1), [])

    def test_unacknowledged_summary_does_not_block_others(self) -> None:
        self.outbox.add(1, 1, b"x" * (MAX_IN_FLIGHT_BYTES + 1))
        self.outbox.add(2, 1, b"x")
        for second in range(10):
            for message in self.outbox.take_due(float(second)):
                if message.minute == 2:
                    self.outbox.on_ack(2, 1)
        self.assertEqual(list(self.outbox.minutes), [1])

    def test_ack_timeout_switches_to_next_control_instance(self) -> None:
        self.outbox.add(1, 1, b"x")
        targets = [
            message.address for now in (0.0, 1.0, 2.0) for message in self.outbox.take_due(now)
        ]
        self.assertEqual(targets, ["first", "second"])

    def test_all_control_instances_receive_until_first_ack(self) -> None:
        outbox = SummaryOutbox(("first", "second"))
        outbox.add(1, 1, b"x")
        self.assertEqual([message.address for message in outbox.take_due(0.0)], ["first", "second"])

    def test_oldest_minutes_are_dropped_and_counted_beyond_the_limit(self) -> None:
        for minute in range(MAX_PENDING_MINUTES + 5):
            self.outbox.add(minute, 1, b"x")
        self.assertEqual((self.outbox.given_up, min(self.outbox.minutes)), (5, 5))

    def test_oversized_summary_keeps_only_the_number_of_missing_services(self) -> None:
        missing = tuple(NamedCount(f"service-{index:060}", 2) for index in range(256))
        groups = tuple(GroupSummary(f"g-{index}", missing=missing) for index in range(64))
        data = encode_summary(MinuteSummary("entry-a", 1, "rennes-a", 1, 1, groups=groups))
        self.assertLess(len(data), MAX_SUMMARY_BYTES)
        self.assertEqual(decode_summary(data).groups[0].missing_other, 512)
