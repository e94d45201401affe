"""Calculation of the day's page from minute summaries."""

from collections import Counter

from spindle_decisions.account.course import Course
from spindle_decisions.account.coverage import COVERAGE_LABELS
from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.gaps import clip_span, find_gaps, is_live_at, run_after
from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.group_totals import GroupTotals
from spindle_decisions.account.instance_basis import InstanceBasis
from spindle_decisions.account.latency_figures import latency_bars, percentiles
from spindle_decisions.account.minute_summary import MS_PER_MINUTE, MinuteSummary
from spindle_decisions.account.named_count import NamedCount
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.run import Run, build_runs
from spindle_decisions.account.shares import share
from spindle_decisions.account.summary_set import SummarySet
from spindle_decisions.account.verdicts import judge, verdict_line

MAX_MISSING_SHOWN = 10


def build_page(
    window: PageWindow,
    summaries: SummarySet,
    problems: tuple[str, ...] = (),
    expected: frozenset[str] = frozenset(),
    only_group: str = "",
) -> DayPage:
    """Calculate the page of a day.

    `summaries` may reach back before the day; what lies before it only tells
    which runs were under way. `problems` names sources that could not be asked.
    `expected` names the entry instances known to live: one without any summary
    is a problem too.
    """
    return _PageBuilder(window, summaries, problems, expected).build(only_group)


class _PageBuilder:
    def __init__(
        self,
        window: PageWindow,
        summaries: SummarySet,
        problems: tuple[str, ...],
        expected: frozenset[str],
    ) -> None:
        self.window = window
        self.runs = build_runs(list(summaries.held.values()))
        self.gaps = find_gaps(self.runs, window)
        self.problems = (*problems, *summaries.problems(), *self._unheard(expected))
        self.totals: dict[str, GroupTotals] = {}
        self.courses: dict[str, Course] = {}

    def build(self, only_group: str) -> DayPage:
        for index, run in enumerate(self.runs):
            self._add_run(run, run_after(self.runs, index))
        names = [name for name in sorted(self.totals) if only_group in ("", name)]
        return DayPage(
            window=self.window,
            groups=tuple(self._group_page(self.totals[name]) for name in names),
            basis=self._basis(),
            gaps=self.gaps,
            problems=self.problems,
        )

    def _unheard(self, expected: frozenset[str]) -> tuple[str, ...]:
        heard = {run.instance for run in self.runs}
        missing = sorted(expected - heard)
        return tuple(f"{name} is alive and no summary of it came" for name in missing)

    def _add_run(self, run: Run, following: Run | None) -> None:
        inside = [item for item in run.summaries if self.window.has_minute(item.minute)]
        for summary in inside:
            for group in summary.groups:
                self._add_group(summary, group)
        if inside:
            went_on = is_live_at(run, following, self.window) or inside[-1] is not run.summaries[-1]
            self._close_run(inside[-1], went_on)

    def _add_group(self, summary: MinuteSummary, group: GroupSummary) -> None:
        totals = self.totals.setdefault(group.group, GroupTotals(group.group))
        totals.add(summary, group)
        course = self.courses.setdefault(group.group, Course(self.window))
        course.add(summary.minute * MS_PER_MINUTE, group)

    def _close_run(self, last: MinuteSummary, went_on: bool) -> None:
        """Count what had not ended: open when the run went on, else lost for good."""
        for group in last.groups:
            if went_on:
                self.totals[group.group].still_open += group.in_flight
            else:
                self.totals[group.group].lost += max(0, group.in_flight)

    def _group_page(self, totals: GroupTotals) -> GroupPage:
        verdict = judge(totals, not self.gaps and not self.problems, self.window.is_over())
        counts = totals.counts
        added = totals.added()
        missing = totals.missing.most_common(MAX_MISSING_SHOWN)
        shown = sum(count for _, count in missing)
        return GroupPage(
            group=totals.group,
            verdict=verdict,
            line=verdict_line(
                totals, verdict, len(self.gaps), len(self.problems), self._uncounted_ms()
            ),
            target_min_ms=totals.target_min_ms,
            target_max_ms=totals.target_max_ms,
            arrived=counts["arrived"],
            total=totals.total(),
            answered=counts["answered"],
            late=counts["late"],
            partial=counts["partial"],
            partial_late=counts["partial_late"],
            refused=_named(totals.refused),
            refused_late=counts["refused_late"],
            outcome_unknown=counts["outcome_unknown"],
            caller_gone=counts["caller_gone"],
            lost=totals.lost,
            still_open=totals.still_open,
            good_share=share(counts["answered"], totals.total()),
            percentiles=percentiles(totals),
            max_us=totals.max_us,
            latency=latency_bars(totals),
            coverage=tuple(map(NamedCount, COVERAGE_LABELS, totals.coverage)),
            coverage_unstated=counts["coverage_unstated"],
            coverage_mean=share(counts["services_delivered"], counts["services_asked"]),
            missing=tuple(NamedCount(name, count) for name, count in missing),
            missing_other=counts["missing_other"] + totals.missing.total() - shown,
            needed=counts["needed"],
            added=added,
            added_load=share(sum(item.count for item in added), counts["needed"]),
            cancelled=counts["cancelled"],
            basis=_named(totals.minutes),
            series=self.courses[totals.group].series(self.gaps),
        )

    def _uncounted_ms(self) -> int:
        """Return how long ago the run that goes on and is furthest behind was counted."""
        horizon_ms = self.window.horizon_ms()
        tails = [
            horizon_ms - run.end_ms()
            for index, run in enumerate(self.runs)
            if is_live_at(run, run_after(self.runs, index), self.window)
        ]
        return max([0, *tails])

    def _basis(self) -> tuple[InstanceBasis, ...]:
        by_instance: dict[str, list[Run]] = {}
        for run in self.runs:
            if any(self.window.has_minute(item.minute) for item in run.summaries):
                by_instance.setdefault(run.instance, []).append(run)
        return tuple(self._instance_basis(name, runs) for name, runs in by_instance.items())

    def _instance_basis(self, name: str, runs: list[Run]) -> InstanceBasis:
        clipped = [clip_span(span, self.window) for run in runs for span in run.spans()]
        minutes = {
            item.minute
            for run in runs
            for item in run.summaries
            if self.window.has_minute(item.minute)
        }
        return InstanceBasis(
            instance=name,
            data_center=runs[-1].data_center,
            incarnations=len(runs),
            minutes=len(minutes),
            spans=tuple(span for span in clipped if span is not None),
        )


def _named(counts: Counter[str]) -> tuple[NamedCount, ...]:
    return tuple(NamedCount(name, count) for name, count in counts.most_common())
