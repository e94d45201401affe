"""Tests of the outbox of minute summaries."""

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
    MAX_PENDING_MINUTES,
    WINDOW_BYTES,
    SummaryOutbox,
)


class TestOutbox(unittest.TestCase):
    def setUp(self) -> None:
        self.outbox = SummaryOutbox(("first", "second"))
        self.outbox.acked(-1, 1)

    def test_a_backlog_does_not_flood_the_network(self) -> None:
        for minute in range(100):
            self.outbox.put(minute, 1, b"x" * 1000)
        sent = sum(len(send.data) for send in self.outbox.due(0.0))
        self.assertLessEqual(sent, WINDOW_BYTES)
        self.assertEqual(self.outbox.due(0.1), [])

    def test_a_summary_that_nobody_takes_holds_up_no_other(self) -> None:
        self.outbox.put(1, 1, b"x" * (WINDOW_BYTES + 1))
        self.outbox.put(2, 1, b"x")
        for second in range(10):
            for send in self.outbox.due(float(second)):
                if send.minute == 2:
                    self.outbox.acked(2, 1)
        self.assertEqual(list(self.outbox.minutes), [1])

    def test_silence_moves_everything_to_the_next_control_instance(self) -> None:
        self.outbox.put(1, 1, b"x")
        targets = [send.address for now in (0.0, 1.0, 2.0) for send in self.outbox.due(now)]
        self.assertEqual(targets, ["first", "second"])

    def test_a_run_nobody_heard_of_tells_everybody(self) -> None:
        outbox = SummaryOutbox(("first", "second"))
        outbox.put(1, 1, b"x")
        self.assertEqual([send.address for send in outbox.due(0.0)], ["first", "second"])

    def test_what_does_not_fit_is_given_up_oldest_first_and_counted(self) -> None:
        for minute in range(MAX_PENDING_MINUTES + 5):
            self.outbox.put(minute, 1, b"x")
        self.assertEqual((self.outbox.given_up, min(self.outbox.minutes)), (5, 5))

    def test_a_summary_too_large_names_no_services_but_counts_them(self) -> None:
        missing = tuple(NamedCount(f"service-{index:060}", 2) for index in range(256))
        groups = tuple(GroupSummary(f"g-{index}", missing=missing) for index in range(64))
        data = encode_summary(MinuteSummary("entry-a", 1, "rennes-a", 1, 1, groups=groups))
        self.assertLess(len(data), MAX_SUMMARY_BYTES)
        self.assertEqual(decode_summary(data).groups[0].missing_other, 512)
