"""The counts of one group, summed over summaries."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from spindle_decisions.account.coverage import COVERAGE_LABELS
from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.latency import merge_encoded, new_histogram
from spindle_decisions.account.minute_summary import MinuteSummary
from spindle_decisions.account.named_count import NamedCount

SUMMED_FIELDS = (
    "arrived",
    "answered",
    "late",
    "partial",
    "partial_late",
    "refused_late",
    "outcome_unknown",
    "caller_gone",
    "coverage_unstated",
    "services_asked",
    "services_delivered",
    "missing_other",
    "needed",
    "hedges",
    "retries",
    "restarts",
    "cancelled",
    "probes",
)
EXTRA_LOAD_CAUSES = ("hedges", "retries", "restarts", "probes")


class GroupTotals:
    """Sums the summaries of one group; latency histograms are merged, not averaged."""

    def __init__(self, group: str) -> None:
        self.group = group
        self.counts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.missing: Counter[str] = Counter()
        self.minutes: Counter[str] = Counter()
        self.coverage = [0] * len(COVERAGE_LABELS)
        self.latency_whole: HdrHistogram = new_histogram()
        self.latency_other: HdrHistogram = new_histogram()
        self.max_us = 0
        self.target_min_ms = 0
        self.target_max_ms = 0
        self.finished = 0
        self.lost = 0
        self.still_open = 0

    def add(self, summary: MinuteSummary, group: GroupSummary) -> None:
        """Add the counts of one instance in one minute."""
        for name in SUMMED_FIELDS:
            self.counts[name] += getattr(group, name)
        self.refused.update({item.name: item.count for item in group.refused})
        self.missing.update({item.name: item.count for item in group.missing})
        self.minutes[summary.instance] += 1
        for bucket, count in enumerate(group.coverage):
            self.coverage[bucket] += count
        merge_encoded(self.latency_whole, group.latency_whole)
        merge_encoded(self.latency_other, group.latency_other)
        self.max_us = max(self.max_us, group.max_us)
        self.finished += group.finished_count()
        self._add_target(group)

    def total(self) -> int:
        """Return the number of requests that ended or were lost."""
        return self.finished + self.lost

    def added(self) -> tuple[NamedCount, ...]:
        """Return the number of sub-requests beyond the minimum needed, by cause."""
        return tuple(NamedCount(cause, self.counts[cause]) for cause in EXTRA_LOAD_CAUSES)

    def _add_target(self, group: GroupSummary) -> None:
        if not group.target_max_ms:
            return
        self.target_max_ms = max(self.target_max_ms, group.target_max_ms)
        self.target_min_ms = min(self.target_min_ms or group.target_min_ms, group.target_min_ms)
