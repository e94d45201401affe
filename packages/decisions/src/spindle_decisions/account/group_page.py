"""The day of one group."""

import msgspec

from spindle_decisions.account.latency_bar import LatencyBar
from spindle_decisions.account.named_count import NamedCount
from spindle_decisions.account.percentile import Percentile
from spindle_decisions.account.series_point import SeriesPoint
from spindle_decisions.account.verdict import Verdict


class GroupPage(msgspec.Struct, frozen=True):
    """Every figure of one group; all rest on the instances and minutes in `basis`.

    `total` counts every request that ended in the window, and those of which no
    end will ever be known (`lost`). It is the base of all shares. `still_open`
    requests are counted when they end, if need be by the page of the next day.
    `added` counts sub-requests beyond those needed, `cancelled` the part of all
    that was cancelled before its answer. `basis` counts minutes by instance in
    which the group was reported.
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
        """Return the number of refusals of all codes."""
        return sum(item.count for item in self.refused)
