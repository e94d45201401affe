"""Calculates the figures of a load from query records."""

from collections import Counter
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from bench.load import const
from bench.load.load_figures import LoadFigures
from bench.load.outcome import Outcome
from bench.load.query_record import QueryRecord

_MIN_US = 1
_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000.0


def summarize(
    records: Sequence[QueryRecord], late_ms: float = const.DEFAULT_LATE_MS
) -> LoadFigures:
    """Return the figures of these records; ratios over zero records are 0."""
    answered = [item for item in records if item.outcome is Outcome.ANSWERED]
    refused = [item for item in records if item.outcome is Outcome.REFUSED]
    failed = [item for item in records if item.outcome is Outcome.FAILED]
    times = _histogram([item for item in records if not item.declined])
    refusal_times = _histogram([item for item in refused if item.declined])
    late = [item for item in records if not item.declined and _is_late(item, late_ms)]
    return LoadFigures(
        queries=len(records),
        answered=len(answered),
        failed=len(failed),
        p50_ms=_percentile_ms(times, 50.0),
        p99_ms=_percentile_ms(times, 99.0),
        max_ms=_percentile_ms(times, 100.0),
        late_ratio=_ratio(len(late), len(records)),
        full_coverage_ratio=_ratio(sum(item.complete for item in records), len(records)),
        mean_coverage=_ratio(sum(item.coverage for item in answered), len(answered)),
        refused_ratio=_ratio(len(refused), len(records)),
        refusal_p99_ms=_percentile_ms(refusal_times, 99.0),
        wrong=sum(1 for item in records if item.wrong),
        wrong_kinds=dict(Counter(str(kind) for item in records for kind in item.wrong)),
        refusals=dict(Counter(item.code for item in refused + failed)),
    )


def _is_late(record: QueryRecord, late_ms: float) -> bool:
    return record.outcome is not Outcome.ANSWERED or record.latency_ms > late_ms


def _histogram(records: Sequence[QueryRecord]) -> HdrHistogram:
    histogram = HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
    for item in records:
        histogram.record_value(int(item.latency_ms * _US_PER_MS))
    return histogram


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    value: int = histogram.get_value_at_percentile(percentile)
    return round(value / _US_PER_MS, 2)


def _ratio(part: float, whole: int) -> float:
    return round(part / whole, 5) if whole else 0.0
