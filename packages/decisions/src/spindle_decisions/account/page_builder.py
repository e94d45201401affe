"""Computes the day's page from minute summaries."""

from collections import Counter

from spindle_decisions.account.coverage import COVERAGE_LABELS
from spindle_decisions.account.day_page import DayPage
from spindle_decisions.account.gaps import clip_span, find_gaps, is_still_running, next_lifetime
from spindle_decisions.account.group_page import GroupPage
from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.group_totals import GroupTotals
from spindle_decisions.account.instance_lifetime import InstanceLifetime, build_lifetimes
from spindle_decisions.account.latency_figures import latency_bars, percentiles
from spindle_decisions.account.minute_summary import MS_PER_MINUTE, MinuteSummary
from spindle_decisions.account.named_count import NamedCount
from spindle_decisions.account.page_window import PageWindow
from spindle_decisions.account.percentages import ratio
from spindle_decisions.account.reporting_instance import ReportingInstance
from spindle_decisions.account.summary_set import SummarySet
from spindle_decisions.account.time_series import TimeSeries
from spindle_decisions.account.verdict_rules import evaluate_verdict, verdict_line

MAX_MISSING_SHOWN = 10


def build_page(
    window: PageWindow,
    summaries: SummarySet,
    problems: tuple[str, ...] = (),
    expected: frozenset[str] = frozenset(),
    only_group: str = "",
) -> DayPage:
    """Compute the page of a day.

    `summaries` may include minutes before the day; they only show which
    instances were running when it began. `problems` describes sources that could
    not be queried. `expected` holds the names of the entry instances known to be
    alive: one without any summary is reported as a problem too. A non-empty
    `only_group` limits the page to that group.
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
        self.lifetimes = build_lifetimes(list(summaries.newest.values()))
        self.gaps = find_gaps(self.lifetimes, window)
        self.problems = (*problems, *summaries.problems(), *self._missing_instances(expected))
        self.totals: dict[str, GroupTotals] = {}
        self.time_series: dict[str, TimeSeries] = {}

    def build(self, only_group: str) -> DayPage:
        for index, lifetime in enumerate(self.lifetimes):
            self._add_lifetime(lifetime, next_lifetime(self.lifetimes, index))
        names = [name for name in sorted(self.totals) if only_group in ("", name)]
        return DayPage(
            window=self.window,
            groups=tuple(self._group_page(self.totals[name]) for name in names),
            basis=self._reporting_instances(),
            gaps=self.gaps,
            problems=self.problems,
        )

    def _missing_instances(self, expected: frozenset[str]) -> tuple[str, ...]:
        reporting = {lifetime.instance for lifetime in self.lifetimes}
        missing = sorted(expected - reporting)
        return tuple(f"{name} is alive and no summary of it came" for name in missing)

    def _add_lifetime(self, lifetime: InstanceLifetime, following: InstanceLifetime | None) -> None:
        inside = [item for item in lifetime.summaries if self.window.has_minute(item.minute)]
        for summary in inside:
            for group in summary.groups:
                self._add_group(summary, group)
        if inside:
            continues = (
                is_still_running(lifetime, following, self.window)
                or inside[-1] is not lifetime.summaries[-1]
            )
            self._count_unfinished(inside[-1], continues)

    def _add_group(self, summary: MinuteSummary, group: GroupSummary) -> None:
        totals = self.totals.setdefault(group.group, GroupTotals(group.group))
        totals.add(summary, group)
        time_series = self.time_series.setdefault(group.group, TimeSeries(self.window))
        time_series.add(summary.minute * MS_PER_MINUTE, group)

    def _count_unfinished(self, last: MinuteSummary, continues: bool) -> None:
        """Count requests in flight as still open if the lifetime continues, else as lost."""
        for group in last.groups:
            if continues:
                self.totals[group.group].still_open += group.in_flight
            else:
                self.totals[group.group].lost += max(0, group.in_flight)

    def _group_page(self, totals: GroupTotals) -> GroupPage:
        verdict = evaluate_verdict(
            totals, not self.gaps and not self.problems, self.window.is_over()
        )
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
            good_share=ratio(counts["answered"], totals.total()),
            percentiles=percentiles(totals),
            max_us=totals.max_us,
            latency=latency_bars(totals),
            coverage=tuple(map(NamedCount, COVERAGE_LABELS, totals.coverage)),
            coverage_unstated=counts["coverage_unstated"],
            coverage_mean=ratio(counts["services_delivered"], counts["services_asked"]),
            missing=tuple(NamedCount(name, count) for name, count in missing),
            missing_other=counts["missing_other"] + totals.missing.total() - shown,
            needed=counts["needed"],
            added=added,
            added_load=ratio(sum(item.count for item in added), counts["needed"]),
            cancelled=counts["cancelled"],
            basis=_named(totals.minutes),
            series=self.time_series[totals.group].series(self.gaps),
        )

    def _uncounted_ms(self) -> int:
        """Return the age of the last counts of the running instance that is furthest behind."""
        data_end_ms = self.window.data_end_ms()
        ages_ms = [
            data_end_ms - lifetime.end_ms()
            for index, lifetime in enumerate(self.lifetimes)
            if is_still_running(lifetime, next_lifetime(self.lifetimes, index), self.window)
        ]
        return max([0, *ages_ms])

    def _reporting_instances(self) -> tuple[ReportingInstance, ...]:
        by_instance: dict[str, list[InstanceLifetime]] = {}
        for lifetime in self.lifetimes:
            if any(self.window.has_minute(item.minute) for item in lifetime.summaries):
                by_instance.setdefault(lifetime.instance, []).append(lifetime)
        return tuple(
            self._reporting_instance(name, lifetimes) for name, lifetimes in by_instance.items()
        )

    def _reporting_instance(
        self, name: str, lifetimes: list[InstanceLifetime]
    ) -> ReportingInstance:
        clipped = [
            clip_span(span, self.window) for lifetime in lifetimes for span in lifetime.spans()
        ]
        minutes = {
            item.minute
            for lifetime in lifetimes
            for item in lifetime.summaries
            if self.window.has_minute(item.minute)
        }
        return ReportingInstance(
            instance=name,
            data_center=lifetimes[-1].data_center,
            incarnations=len(lifetimes),
            minutes=len(minutes),
            spans=tuple(span for span in clipped if span is not None),
        )


def _named(counts: Counter[str]) -> tuple[NamedCount, ...]:
    return tuple(NamedCount(name, count) for name, count in counts.most_common())
