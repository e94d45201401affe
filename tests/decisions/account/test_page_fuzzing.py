"""Fuzz test of the page: it equals an independent count or reports the gap."""

import math
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.account.verdict import Verdict
from tests.decisions.account.common import TARGET_MS
from tests.decisions.account.deployment import Deployment, ExpectedCounts

NAMES = ("entry-a", "entry-b")
HISTOGRAM_ERROR = 1.01
Q = QueryOutcome

GOOD_VERDICTS = (Verdict.GOOD, Verdict.GOOD_SO_FAR)


class PageMachine(RuleBasedStateMachine):
    """Generates traffic and faults, and checks the page after each step."""

    def __init__(self) -> None:
        super().__init__()
        self.deployment = Deployment(NAMES)

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 40))
    def serve_well(self, name: str, count: int) -> None:
        for _ in range(count):
            self.arrive(name)
            self.finish(name, Q.ANSWERED, 100, 4)

    @rule(name=st.sampled_from(NAMES))
    def arrive(self, name: str) -> None:
        if name in self.deployment.entries:
            self.deployment.arrive(name)

    @rule(
        name=st.sampled_from(NAMES),
        outcome=st.sampled_from(list(Q)),
        latency_ms=st.integers(0, 2_000),
        covered=st.integers(0, 4),
    )
    def finish(self, name: str, outcome: QueryOutcome, latency_ms: int, covered: int) -> None:
        if name in self.deployment.entries:
            self.deployment.finish(name, outcome, latency_ms, covered)

    @rule(seconds=st.integers(1, 100))
    def advance(self, seconds: int) -> None:
        self.deployment.advance(seconds)

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        if name in self.deployment.entries:
            self.deployment.crash(name)

    @rule(name=st.sampled_from(NAMES))
    def stop(self, name: str) -> None:
        if name in self.deployment.entries:
            self.deployment.stop(name)

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: str) -> None:
        if name not in self.deployment.entries:
            self.deployment.advance(1)
            self.deployment.start(name)

    @rule(messages=st.integers(0, 5), acks=st.integers(0, 5), delay_ms=st.integers(0, 15_000))
    def lose_messages(self, messages: int, acks: int, delay_ms: int) -> None:
        self.deployment.drop_messages = messages
        self.deployment.drop_acks = acks
        self.deployment.ack_delay_ms = delay_ms

    @rule(index=st.integers(0, 1))
    def restart_control(self, index: int) -> None:
        self.deployment.controls[index].restart()

    @rule(index=st.integers(0, 1), cut=st.booleans())
    def cut_control(self, index: int, cut: bool) -> None:
        self.deployment.controls[index].is_cut_off = cut
        self.deployment.had_faults = True

    @invariant()
    def incomplete_page_is_never_good(self) -> None:
        page = self.deployment.page()
        if page.is_complete():
            return
        assert self.deployment.had_faults, (page.gaps, page.problems)
        for group in page.groups:
            assert group.verdict not in GOOD_VERDICTS, group.line

    def teardown(self) -> None:
        """Remove all faults and stop all entries; a complete page must then match the count."""
        self.deployment.drop_messages = self.deployment.drop_acks = self.deployment.ack_delay_ms = 0
        for control in self.deployment.controls:
            control.is_cut_off = False
        for name in list(self.deployment.entries):
            self.deployment.stop(name)
        self.deployment.advance(40)
        page = self.deployment.page()
        if page.is_complete():
            good = Verdict.GOOD if page.window.is_over() else Verdict.GOOD_SO_FAR
            check_figures(page.groups, self.deployment.expected, good)
        else:
            check_not_exceeded(page.groups, self.deployment.expected)


def check_figures(
    groups: tuple[GroupPage, ...], expected: ExpectedCounts, best_verdict: Verdict
) -> None:
    """Compare every figure with the independent count."""
    if not expected.arrived:
        assert not groups
        return
    (group,) = groups
    answered = [latency for outcome, latency, _ in expected.ends if outcome is Q.ANSWERED]
    late = sum(1 for latency in answered if latency > TARGET_MS)
    total = len(expected.ends) + expected.unfinished
    assert group.arrived == expected.arrived == group.total, (
        group.arrived,
        expected,
        group.total,
        group.lost,
    )
    assert group.answered == len(answered) - late
    assert group.late == late
    assert group.partial == expected.count(Q.PARTIAL)
    assert group.refusals() == expected.count(Q.REFUSED)
    assert group.outcome_unknown == expected.count(Q.OUTCOME_UNKNOWN)
    assert group.caller_gone == expected.count(Q.CALLER_GONE)
    assert (group.total, group.lost, group.still_open) == (total, expected.unfinished, 0)
    good = group.answered / total >= 0.99
    assert group.verdict is (best_verdict if good else Verdict.MISSED), group.line
    check_coverage(group, expected)
    check_percentiles(group, [latency for _, latency, _ in expected.ends], answered, total)


def check_coverage(group: GroupPage, expected: ExpectedCounts) -> None:
    delivering = (Q.ANSWERED, Q.PARTIAL)
    covered = [services if outcome in delivering else 0 for outcome, _, services in expected.ends]
    counts = {item.name: item.count for item in group.coverage}
    assert counts["all"] == covered.count(4)
    assert counts["none"] == covered.count(0)
    assert counts["under 50%"] == covered.count(1)
    assert counts["50% to 80%"] == covered.count(2) + covered.count(3)
    if covered:
        assert group.coverage_mean is not None
        assert math.isclose(group.coverage_mean, sum(covered) / len(covered) / 4)


def check_percentiles(group: GroupPage, every: list[int], whole: list[int], total: int) -> None:
    for item in group.percentiles:
        rank = math.ceil(total * round(item.percent * 10) / 1000)
        for latencies, shown in ((every, item.all_us), (whole, item.whole_us)):
            if rank > len(latencies):
                assert shown is None
                continue
            exact = sorted(latencies)[rank - 1] * 1000
            assert shown is not None
            assert exact <= shown <= max(exact, 1) * HISTOGRAM_ERROR, (exact, shown)


def check_not_exceeded(groups: tuple[GroupPage, ...], expected: ExpectedCounts) -> None:
    """Check that an incomplete page never shows more than the independent count."""
    for group in groups:
        assert group.arrived <= expected.arrived
        assert group.answered + group.late <= expected.count(Q.ANSWERED)
        assert group.verdict not in GOOD_VERDICTS


TestPageMachine = PageMachine.TestCase
TestPageMachine.settings = settings(
    derandomize=True, database=None, deadline=None, max_examples=200, stateful_step_count=40
)
assert issubclass(TestPageMachine, unittest.TestCase)
