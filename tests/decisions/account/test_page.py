"""Tests of the day's page, which must never look better than the day was."""

import unittest

from nose2.tools import params

from spindle_decisions.account.gaps import REASON_CRASH, REASON_NO_SUMMARIES
from spindle_decisions.account.instance_lifetime import build_lifetimes
from spindle_decisions.account.minute_summary import MinuteSummary
from spindle_decisions.account.page_builder import build_page
from spindle_decisions.account.percentages import percent_down, percent_up
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.account.query_record import QueryRecord
from spindle_decisions.account.summary_set import SummarySet
from spindle_decisions.account.verdict import Verdict
from tests.decisions.account.common import DAY_MS, MINUTE_MS, counter, record, window

Q = QueryOutcome


def day_summaries(
    records: list[QueryRecord], unfinished: int = 0, instance: str = "entry-a", minutes: int = 1440
) -> list[MinuteSummary]:
    """Return the summaries of an instance that serves all records in its first minute."""
    account = counter(instance)
    for item in records:
        account.record_arrival(item.group)
        account.record_finished(item)
    for _ in range(unfinished):
        account.record_arrival("comptoir")
    summaries = []
    for second in range(1, minutes * 60 + 1):
        closed = account.on_tick(second * 1000)
        if closed is not None:
            summaries.append(closed)
    return summaries


def summary_set(summaries: list[MinuteSummary]) -> SummarySet:
    collected = SummarySet()
    for summary in summaries:
        collected.add(summary)
    return collected


class TestVerdict(unittest.TestCase):
    @params(
        ("all good", [record()] * 100, Verdict.GOOD),
        ("one late of 100", [record()] * 99 + [record(latency_ms=331)], Verdict.GOOD),
        ("two late of 100", [record()] * 98 + [record(latency_ms=331)] * 2, Verdict.MISSED),
        (
            "fast refusals are not good answers",
            [record()] * 98 + [record(Q.REFUSED, 1, covered=0, code="overloaded")] * 2,
            Verdict.MISSED,
        ),
        ("partial", [record()] * 98 + [record(Q.PARTIAL, covered=3)] * 2, Verdict.MISSED),
        (
            "reported as answered but partial",
            [record()] * 98 + [record(covered=3)] * 2,
            Verdict.MISSED,
        ),
        ("caller disconnected", [record()] * 98 + [record(Q.CALLER_GONE)] * 2, Verdict.MISSED),
        ("outcome unknown", [record()] * 98 + [record(Q.OUTCOME_UNKNOWN)] * 2, Verdict.MISSED),
    )
    def test_only_complete_answers_within_target_are_good(
        self, _name: str, records: list[QueryRecord], expected: Verdict
    ) -> None:
        page = build_page(window(), summary_set(day_summaries(records)))
        self.assertEqual(page.gaps, ())
        self.assertEqual(page.groups[0].verdict, expected, page.groups[0].line)

    @params(1, 19, 30)
    def test_unfinished_day_is_at_best_good_so_far(self, uncounted_s: int) -> None:
        """An instance that crashed a few seconds ago has not been detected as lost."""
        summaries = day_summaries([record()] * 100, minutes=10)
        last_ms = build_lifetimes(summaries)[-1].end_ms()
        asked_ms = last_ms + uncounted_s * 1000
        page = build_page(window(asked_ms=asked_ms), summary_set(summaries))
        self.assertEqual(page.groups[0].verdict, Verdict.GOOD_SO_FAR)
        self.assertIn(f"up to {uncounted_s} s are not counted yet", page.groups[0].line)

    def test_good_day_reports_unknown_outcomes(self) -> None:
        records = [record()] * 199 + [record(Q.REFUSED, code="outcome-unknown")]
        page = build_page(window(), summary_set(day_summaries(records)))
        self.assertEqual(page.groups[0].verdict, Verdict.GOOD)
        self.assertIn("1 with unknown outcome", page.groups[0].line)

    @params(
        ("unreachable control", ("10.0.0.2:9000 could not be asked",), frozenset()),
        ("entry without summaries", (), frozenset({"entry-a", "entry-b"})),
    )
    def test_missing_source_is_never_good(
        self, _name: str, problems: tuple[str, ...], expected: frozenset[str]
    ) -> None:
        page = build_page(window(), summary_set(day_summaries([record()])), problems, expected)
        self.assertEqual(page.groups[0].verdict, Verdict.INCOMPLETE)
        self.assertEqual(len(page.problems), 1)

    def test_lost_requests_count_as_failures(self) -> None:
        summaries = day_summaries([record()] * 98, unfinished=2, minutes=30)
        page = build_page(window(), summary_set(summaries))
        group = page.groups[0]
        self.assertEqual((group.lost, group.total, group.verdict), (2, 100, Verdict.MISSED))
        self.assertIsNone(group.percentiles[-1].all_us)

    def test_percentiles_of_complete_answers_include_all_requests_in_rank(self) -> None:
        records = [record()] * 90 + [record(Q.REFUSED, 1, code="overloaded")] * 10
        page = build_page(window(), summary_set(day_summaries(records)))
        by_percent = {item.percent: item for item in page.groups[0].percentiles}
        self.assertIsNotNone(by_percent[90.0].whole_us)
        self.assertIsNone(by_percent[95.0].whole_us)
        self.assertIsNotNone(by_percent[95.0].all_us)

    @params(
        (9999, 10001, "99.98%", "99.99%"), (1, 100_000, "0.00%", "0.01%"), (0, 0, "none", "none")
    )
    def test_percentages_are_rounded_conservatively(
        self, part: int, whole: int, down: str, up: str
    ) -> None:
        self.assertEqual((percent_down(part, whole), percent_up(part, whole)), (down, up))


class TestGaps(unittest.TestCase):
    def setUp(self) -> None:
        self.day = day_summaries([record()])

    def gaps_of(self, summaries: list[MinuteSummary], asked_ms: int = 2 * DAY_MS) -> list[str]:
        page = build_page(window(asked_ms=asked_ms), summary_set(summaries))
        return [
            f"{gap.from_ms // MINUTE_MS}-{gap.to_ms // MINUTE_MS} {gap.reason}" for gap in page.gaps
        ]

    def test_complete_day_has_no_gaps(self) -> None:
        self.assertEqual(self.gaps_of(self.day), [])

    def test_missing_minutes_are_a_gap(self) -> None:
        found = self.gaps_of(self.day[:100] + self.day[103:])
        self.assertEqual([item.split()[0] for item in found], ["100-103"])

    def test_missing_first_minutes_are_a_gap(self) -> None:
        self.assertEqual([item.split()[0] for item in self.gaps_of(self.day[5:])], ["0-5"])

    def test_gap_without_further_summaries_lasts_until_end_of_day(self) -> None:
        self.assertEqual(self.gaps_of(self.day[:700]), [f"700-1440 {REASON_NO_SUMMARIES}"])

    def test_clean_shutdown_leaves_no_gap(self) -> None:
        account = counter()
        self.assertEqual(self.gaps_of([account.close(30_000)]), [])

    def test_gap_after_crash_ends_at_next_start(self) -> None:
        following = counter(incarnation=2, wall_ms=50 * MINUTE_MS)
        found = self.gaps_of(self.day[:40] + [following.close(50 * MINUTE_MS + 500)])
        self.assertEqual(found, [f"40-50 {REASON_CRASH}"])

    def test_crash_with_clock_set_back_leaves_empty_gap(self) -> None:
        following = counter(incarnation=2, wall_ms=39 * MINUTE_MS)
        found = self.gaps_of(self.day[:40] + [following.close(41 * MINUTE_MS)])
        self.assertEqual(found, [f"40-40 {REASON_CRASH}"])

    def test_instance_known_from_previous_day_has_gap_from_midnight(self) -> None:
        collected = summary_set(self.day[:1400])
        page = build_page(window(1400 * MINUTE_MS, 1500 * MINUTE_MS), collected)
        self.assertEqual([gap.reason for gap in page.gaps], [REASON_NO_SUMMARIES])

    def test_current_day_has_no_gap_up_to_now(self) -> None:
        self.assertEqual(self.gaps_of(self.day[:700], 700 * MINUTE_MS + 5_000), [])

    def test_suspended_process_leaves_a_gap(self) -> None:
        account = counter()
        account.on_tick(1_000)
        self.assertIsNone(account.on_tick(20_000))
        self.assertEqual(len(self.gaps_of([account.close(21_000)])), 1)

    def test_clock_set_back_does_not_reopen_a_minute(self) -> None:
        account = counter(wall_ms=10 * MINUTE_MS)
        self.assertIsNone(account.on_tick(2 * MINUTE_MS))
        account.record_arrival("comptoir")
        account.record_finished(record())
        self.assertEqual(account.close(2 * MINUTE_MS).minute, 10)


class TestMidnight(unittest.TestCase):
    def test_request_across_midnight_counts_in_exactly_one_day(self) -> None:
        account = counter()
        summaries = []
        for second in range(1, 1200):
            if second % 7 == 0:
                account.record_arrival("comptoir")
            if second % 7 == 4 and second > 100:
                account.record_finished(record())
            closed = account.on_tick(second * 1000)
            summaries.extend([closed] if closed is not None else [])
        summaries.append(account.close(1_200_000))
        collected = summary_set(summaries)
        middle, end = 10 * MINUTE_MS, 20 * MINUTE_MS
        first, second_day = (
            build_page(window(start, stop), collected).groups[0]
            for start, stop in ((0, middle), (middle, end))
        )
        self.assertGreater(first.still_open, 0)
        self.assertEqual(first.arrived, first.total + first.still_open)
        self.assertEqual(second_day.arrived + first.still_open, second_day.total)
        self.assertGreater(second_day.lost, 0)


class TestSummarySet(unittest.TestCase):
    def test_highest_revision_wins_in_any_order(self) -> None:
        account = counter()
        early = account.checkpoint()
        account.record_arrival("comptoir")
        late = account.checkpoint()
        for order in ([early, late, early], [late, early, late]):
            collected = summary_set(order)
            self.assertEqual(list(collected.newest.values()), [late])
            self.assertEqual(collected.problems(), ())

    def test_conflicting_and_unreadable_summaries_are_problems(self) -> None:
        collected = summary_set([counter().checkpoint(), counter(wall_ms=1).checkpoint()])
        collected.add_all([b"garbage"])
        self.assertEqual(len(collected.problems()), 2)


class TestAddedLoad(unittest.TestCase):
    def test_cancelled_sub_requests_are_not_counted_twice(self) -> None:
        records = [record(hedges=1, cancelled=1), record(retries=1), record(restarts=2), record()]
        page = build_page(window(), summary_set(day_summaries(records, minutes=2)))
        group = page.groups[0]
        self.assertEqual((group.needed, group.added_load, group.cancelled), (16, 4 / 16, 1))
        self.assertEqual(sum(item.count for item in group.added), 4)
