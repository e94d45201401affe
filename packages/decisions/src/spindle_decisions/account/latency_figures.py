"""Latency percentiles and distribution for the day's page."""

import math

from spindle_decisions.account.group_totals import GroupTotals
from spindle_decisions.account.latency import new_histogram, value_at_rank
from spindle_decisions.account.latency_bar import LatencyBar
from spindle_decisions.account.percentile import Percentile

PERCENTS = (50.0, 90.0, 95.0, 99.0, 99.9)
PER_MILLE_PER_PERCENT = 10
PER_MILLE_PER_UNIT = 1000
BARS_PER_DOUBLING = 2
FIRST_BAR_US = 1000


def percentiles(totals: GroupTotals) -> tuple[Percentile, ...]:
    """Return percentiles over all requests of the day, including lost ones."""
    total = totals.total()
    if not total:
        return ()
    all_requests = new_histogram()
    all_requests.add(totals.latency_whole)
    all_requests.add(totals.latency_other)
    found: list[Percentile] = []
    for percent in PERCENTS:
        rank = rank_of(percent, total)
        found.append(
            Percentile(
                percent,
                value_at_rank(all_requests, rank),
                value_at_rank(totals.latency_whole, rank),
            )
        )
    return tuple(found)


def rank_of(percent: float, total: int) -> int:
    """Return the rank, counted from 1, of a percentile among `total` values."""
    scaled = round(percent * PER_MILLE_PER_PERCENT)
    return max(1, -(-total * scaled // PER_MILLE_PER_UNIT))


def latency_bars(totals: GroupTotals) -> tuple[LatencyBar, ...]:
    """Return the distribution in bars whose bounds grow by a factor of √2, empty ones included."""
    counts: dict[int, list[int]] = {}
    for index in range(totals.latency_whole.counts_len):
        whole = totals.latency_whole.get_count_at_index(index)
        other = totals.latency_other.get_count_at_index(index)
        if not whole and not other:
            continue
        bar = counts.setdefault(_bar_of(totals.latency_whole.get_value_from_index(index)), [0, 0])
        bar[0] += whole
        bar[1] += other
    if not counts:
        return ()
    bars = range(min(counts), max(counts) + 1)
    return tuple(LatencyBar(_upper_us(bar), *counts.get(bar, (0, 0))) for bar in bars)


def _bar_of(value_us: int) -> int:
    if value_us <= FIRST_BAR_US:
        return 0
    return math.ceil(BARS_PER_DOUBLING * math.log2(value_us / FIRST_BAR_US))


def _upper_us(bar: int) -> int:
    return round(FIRST_BAR_US * 2 ** (bar / BARS_PER_DOUBLING))
