"""Checks the retry budget, which all instances share."""

import bisect
from collections.abc import Iterable

from tests.platform.test_settings import ENTRY_FIELDS
from tests.soak.answer_check import SEARCH
from tests.soak.ledger import CheckResults
from tests.soak.plan_document import LOOKUP_SERVICE, SERVICES
from tests.soak.soak_environment import SoakEnvironment

PARAMS = ENTRY_FIELDS["contractParams"]
RATIO, WINDOW_S, BURST = PARAMS["budgetRatio"], PARAMS["budgetWindowS"], PARAMS["budgetBurst"]


def check_budget(environment: SoakEnvironment, results: CheckResults) -> None:
    """Check, for each service, every window that ends with the arrival of a retry."""
    for service in SERVICES:
        sent = sorted(
            at
            for at, kind in environment.requests_sent
            if (kind == SEARCH) != (service == LOOKUP_SERVICE)
        )
        retries = _retries(_arrivals(environment, service))
        for number, at in enumerate(retries):
            retries_in_window = number + 1 - bisect.bisect_right(retries, at - WINDOW_S)
            window_starts = (at - WINDOW_S, at - 1.5 * WINDOW_S, at - 2 * WINDOW_S)
            requests = max(_count(sent, start, start + WINDOW_S) for start in window_starts)
            allowed = RATIO * requests + BURST
            results.check(
                "repeats keep the shared budget",
                retries_in_window <= allowed,
                (service, retries_in_window, allowed),
            )


def _arrivals(environment: SoakEnvironment, service: str) -> Iterable[tuple[float, str]]:
    for upstream in (*environment.retired, *environment.upstreams.values()):
        if upstream.service == service:
            yield from upstream.arrivals


def _retries(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    seen_ids: set[str] = set()
    retries = []
    for at, request_id in sorted(arrivals):
        if request_id in seen_ids:
            retries.append(at)
        seen_ids.add(request_id)
    return retries


def _count(times: list[float], start: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, start)
