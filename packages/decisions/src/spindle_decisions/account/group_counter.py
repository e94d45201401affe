"""Counters of one group in the current minute."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from spindle_decisions.account.coverage import COVERAGE_LABELS, coverage_bucket
from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.latency import encode_histogram, new_histogram, record_latency
from spindle_decisions.account.named_count import NamedCount
from spindle_decisions.account.query_outcome import QueryOutcome
from spindle_decisions.account.query_record import QueryRecord
from spindle_decisions.exceptions import OutcomeUnknownError
from spindle_decisions.util.units import US_PER_MS

# Limits per group and minute: refusal codes counted separately, missing services counted
# by name, and those of them that the summary names.
MAX_CODES = 32
MAX_COUNTED_SERVICES = 2_048
MAX_NAMED_SERVICES = 256
OTHER_CODE = "other"


class GroupCounter:
    """Counts the requests of one group during one minute.

    A request is classified by what the caller received, not by its reported
    outcome: an answer that lacks services is partial, and a refusal with the
    code `outcome-unknown` is an unknown outcome.
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self.target_min_ms = 0
        self.target_max_ms = 0
        self.arrived = 0
        self.answered = 0
        self.late = 0
        self.partial = 0
        self.partial_late = 0
        self.refused: Counter[str] = Counter()
        self.refused_late = 0
        self.outcome_unknown = 0
        self.caller_gone = 0
        self.latency_whole: HdrHistogram | None = None
        self.latency_other: HdrHistogram | None = None
        self.max_us = 0
        self.coverage = [0] * len(COVERAGE_LABELS)
        self.coverage_unstated = 0
        self.services_asked = 0
        self.services_delivered = 0
        self.missing: Counter[str] = Counter()
        self.missing_other = 0
        self.needed = 0
        self.hedges = 0
        self.retries = 0
        self.restarts = 0
        self.cancelled = 0
        self.probes = 0

    def record_finished(self, record: QueryRecord) -> None:
        """Count the outcome of a finished request."""
        outcome = effective_outcome(record)
        self._count_target(record.target_ms)
        self._count_outcome(outcome, record)
        self._count_latency(outcome, record.latency_us)
        self._count_coverage(outcome, record)
        self._count_load(record)

    def summary(self, in_flight: int) -> GroupSummary:
        """Return the counts so far as a summary."""
        named = self.missing.most_common(MAX_NAMED_SERVICES)
        unnamed = self.missing.total() - sum(count for _, count in named)
        return GroupSummary(
            group=self.group,
            target_min_ms=self.target_min_ms,
            target_max_ms=self.target_max_ms,
            arrived=self.arrived,
            in_flight=in_flight,
            answered=self.answered,
            late=self.late,
            partial=self.partial,
            partial_late=self.partial_late,
            refused=_named(self.refused.most_common()),
            refused_late=self.refused_late,
            outcome_unknown=self.outcome_unknown,
            caller_gone=self.caller_gone,
            latency_whole=encode_histogram(self.latency_whole),
            latency_other=encode_histogram(self.latency_other),
            max_us=self.max_us,
            coverage=tuple(self.coverage),
            coverage_unstated=self.coverage_unstated,
            services_asked=self.services_asked,
            services_delivered=self.services_delivered,
            missing=_named(named),
            missing_other=self.missing_other + unnamed,
            needed=self.needed,
            hedges=self.hedges,
            retries=self.retries,
            restarts=self.restarts,
            cancelled=self.cancelled,
            probes=self.probes,
        )

    def _count_target(self, target_ms: int) -> None:
        self.target_max_ms = max(self.target_max_ms, target_ms)
        self.target_min_ms = min(self.target_min_ms or target_ms, target_ms)

    def _count_outcome(self, outcome: QueryOutcome, record: QueryRecord) -> None:
        late = record.latency_us > record.target_ms * US_PER_MS
        if outcome is QueryOutcome.ANSWERED:
            self.answered += not late
            self.late += late
        elif outcome is QueryOutcome.PARTIAL:
            self.partial += 1
            self.partial_late += late
        elif outcome is QueryOutcome.REFUSED:
            self.refused[self._code(record.code)] += 1
            self.refused_late += late
        elif outcome is QueryOutcome.OUTCOME_UNKNOWN:
            self.outcome_unknown += 1
        else:
            self.caller_gone += 1

    def _code(self, code: str) -> str:
        if code in self.refused or len(self.refused) < MAX_CODES:
            return code or OTHER_CODE
        return OTHER_CODE

    def _count_latency(self, outcome: QueryOutcome, latency_us: int) -> None:
        self.max_us = max(self.max_us, latency_us)
        if outcome is QueryOutcome.ANSWERED:
            self.latency_whole = self.latency_whole or new_histogram()
            record_latency(self.latency_whole, latency_us)
        else:
            self.latency_other = self.latency_other or new_histogram()
            record_latency(self.latency_other, latency_us)

    def _count_coverage(self, outcome: QueryOutcome, record: QueryRecord) -> None:
        self._count_missing(record.missing)
        if record.services_total <= 0:
            self.coverage_unstated += 1
            return
        delivered = record.services_covered if _delivers(outcome) else 0
        self.coverage[coverage_bucket(delivered, record.services_total)] += 1
        self.services_asked += record.services_total
        self.services_delivered += min(delivered, record.services_total)

    def _count_missing(self, missing: tuple[str, ...]) -> None:
        for service in missing:
            if service in self.missing or len(self.missing) < MAX_COUNTED_SERVICES:
                self.missing[service] += 1
            else:
                self.missing_other += 1

    def _count_load(self, record: QueryRecord) -> None:
        self.needed += record.needed
        self.hedges += record.hedges
        self.retries += record.retries
        self.restarts += record.restarts
        self.cancelled += record.cancelled


def effective_outcome(record: QueryRecord) -> QueryOutcome:
    """Return the outcome that the caller of a request received."""
    if record.outcome is QueryOutcome.ANSWERED and _lacks_services(record):
        return QueryOutcome.PARTIAL
    if record.outcome is QueryOutcome.REFUSED and record.code == OutcomeUnknownError.code:
        return QueryOutcome.OUTCOME_UNKNOWN
    return record.outcome


def _lacks_services(record: QueryRecord) -> bool:
    return bool(record.missing) or record.services_covered < record.services_total


def _delivers(outcome: QueryOutcome) -> bool:
    return outcome in (QueryOutcome.ANSWERED, QueryOutcome.PARTIAL)


def _named(items: list[tuple[str, int]]) -> tuple[NamedCount, ...]:
    return tuple(NamedCount(name, count) for name, count in items)
