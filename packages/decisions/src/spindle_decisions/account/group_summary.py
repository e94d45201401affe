"""The counts of one group at one entry instance in one minute."""

import msgspec

from spindle_decisions.account.named_count import NamedCount


class GroupSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts of one group.

    Every finished request is in exactly one of `answered` (complete and within
    the target), `late` (complete, after the target), `partial`, `refused` by
    code, `outcome_unknown` and `caller_gone`. `partial_late` and `refused_late`
    are the subsets of these that ended after the target. `in_flight` is the
    number of requests that had arrived but not ended when the summary was created.

    `latency_whole` is the encoded histogram of complete answers, `latency_other`
    that of all other outcomes; together they contain every finished request.
    `max_us` is exact.

    Coverage counts what the caller received: a refusal covers no service.
    `coverage_unstated` counts finished requests whose services were never
    determined, such as a refusal before the catalog was read.

    `needed` is the minimum number of sub-requests; hedges, retries, restarts and
    probes were sent in addition. `cancelled` is the subset of all sub-requests
    that was cancelled before its answer.
    """

    group: str
    target_min_ms: int = 0
    target_max_ms: int = 0
    arrived: int = 0
    in_flight: int = 0
    answered: int = 0
    late: int = 0
    partial: int = 0
    partial_late: int = 0
    refused: tuple[NamedCount, ...] = ()
    refused_late: int = 0
    outcome_unknown: int = 0
    caller_gone: int = 0
    latency_whole: bytes = b""
    latency_other: bytes = b""
    max_us: int = 0
    coverage: tuple[int, ...] = ()
    coverage_unstated: int = 0
    services_asked: int = 0
    services_delivered: int = 0
    missing: tuple[NamedCount, ...] = ()
    missing_other: int = 0
    needed: int = 0
    hedges: int = 0
    retries: int = 0
    restarts: int = 0
    cancelled: int = 0
    probes: int = 0

    def refusals(self) -> int:
        """Return the number of refusals, summed over all codes."""
        return sum(item.count for item in self.refused)

    def without_names(self) -> "GroupSummary":
        """Return the same counts with the missing services as one sum, without names."""
        unnamed = self.missing_other + sum(item.count for item in self.missing)
        return msgspec.structs.replace(self, missing=(), missing_other=unnamed)

    def finished_count(self) -> int:
        """Return the number of requests that ended."""
        whole = self.answered + self.late
        return whole + self.partial + self.refusals() + self.outcome_unknown + self.caller_gone
