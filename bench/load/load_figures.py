"""Figures over many queries."""

import msgspec


class LoadFigures(msgspec.Struct, frozen=True):
    """What the callers saw.

    Percentiles are over all queries but the declined ones, which were refused
    without a try; a failure or an exceeded deadline counts with its time.
    `late_ratio` counts late answers, exceeded deadlines and failures among all
    queries. `full_coverage_ratio` and `refused_ratio` are among all queries,
    `mean_coverage` is over the answered ones. `refusal_p99_ms` is over the
    declined ones. `wrong` counts answers.
    """

    queries: int
    answered: int
    failed: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    late_ratio: float
    full_coverage_ratio: float
    mean_coverage: float
    refused_ratio: float
    refusal_p99_ms: float
    wrong: int
    wrong_kinds: dict[str, int]
    refusals: dict[str, int]
