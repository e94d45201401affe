"""The figures of one group on the day's page."""

import msgspec

from spindle_decisions.account.latency_bar import LatencyBar
from spindle_decisions.account.named_count import NamedCount
from spindle_decisions.account.percentile import Percentile
from spindle_decisions.account.series_point import SeriesPoint
from spindle_decisions.account.verdict import Verdict


class GroupPage(msgspec.Struct, frozen=True):
    """Every figure of one group for one day.

    `total` counts every request that ended in the window and those whose end
    will never be known (`lost`); `good_share` and the percentiles are relative to
    it. Requests that are `still_open` are counted when they end, on the next day's
    page if necessary. `added` counts sub-requests beyond those `needed`, by cause;
    `cancelled` counts sub-requests of all kinds that were cancelled before their
    answer. `basis` holds, for each instance, the number of minutes with counts of
    the group.
    """

    group: str
    verdict: Verdict
    line: str
    target_min_ms: int
    target_max_ms: int
    arrived: int
    total: int
    answered: int
    late: int
    partial: int
    partial_late: int
    refused: tuple[NamedCount, ...]
    refused_late: int
    outcome_unknown: int
    caller_gone: int
    lost: int
    still_open: int
    good_share: float | None
    percentiles: tuple[Percentile, ...]
    max_us: int
    latency: tuple[LatencyBar, ...]
    coverage: tuple[NamedCount, ...]
    coverage_unstated: int
    coverage_mean: float | None
    missing: tuple[NamedCount, ...]
    missing_other: int
    needed: int
    added: tuple[NamedCount, ...]
    added_load: float | None
    cancelled: int
    basis: tuple[NamedCount, ...]
    series: tuple[SeriesPoint, ...]

    def refusals(self) -> int:
        """Return the number of refusals, summed over all codes."""
        return sum(item.count for item in self.refused)
