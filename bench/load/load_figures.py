"""Figures over many queries."""

import msgspec


class LoadFigures(msgspec.Struct, frozen=True):
    """The results of a load from the callers' point of view.

    Latency percentiles cover all queries except declined ones, which were refused
    without an attempt; a failure or an exceeded deadline counts with its time.
    `late_ratio` is the ratio of late answers, exceeded deadlines and failures to
    all queries. `full_coverage_ratio` and `refused_ratio` relate to all queries,
    `mean_coverage` to the answered ones, `refusal_p99_ms` to the declined ones.
    `wrong` is the number of answers with at least one error.
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
