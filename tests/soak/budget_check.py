"""The check of the budget for repeats, which all instances share."""

import bisect
from collections.abc import Iterable

from tests.platform.test_settings import ENTRY_FIELDS
from tests.soak.answer_check import SEARCH
from tests.soak.document import DESK, SERVICES
from tests.soak.ledger import Ledger
from tests.soak.stage import Stage

PARAMS = ENTRY_FIELDS["contractParams"]
RATIO, WINDOW_S, BURST = PARAMS["budgetRatio"], PARAMS["budgetWindowS"], PARAMS["budgetBurst"]


def check_budget(stage: Stage, ledger: Ledger) -> None:
    """Check every window that ends with an arrival beyond the first, service by service."""
    for service in SERVICES:
        sent = sorted(at for at, kind in stage.sent if (kind == SEARCH) != (service == DESK))
        extra = _repeats(_arrivals(stage, service))
        for number, at in enumerate(extra):
            within = number + 1 - bisect.bisect_right(extra, at - WINDOW_S)
            starts = (at - WINDOW_S, at - 1.5 * WINDOW_S, at - 2 * WINDOW_S)
            asked = max(_count(sent, start, start + WINDOW_S) for start in starts)
            allowed = RATIO * asked + BURST
            ledger.check(
                "repeats keep the shared budget", within <= allowed, (service, within, allowed)
            )


def _arrivals(stage: Stage, service: str) -> Iterable[tuple[float, str]]:
    for upstream in (*stage.retired, *stage.upstreams.values()):
        if upstream.service == service:
            yield from upstream.arrivals


def _repeats(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    seen: set[str] = set()
    repeats = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    return repeats


def _count(times: list[float], start: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, start)
