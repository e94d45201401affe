"""Results of the checks of a soak."""

import logging
import time
from collections import Counter

import gevent

_LOGGER = logging.getLogger(__name__)
MAX_DETAIL_CHARS = 300


class CheckResults:
    """Counts checks by promise and records each violation with the time since the start."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.checks: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []
        # Seconds in which the host was overloaded, and the checks skipped for that reason.
        self.overloaded_s = 0.0
        self.skipped: Counter[str] = Counter()

    def check(self, promise: str, holds: bool, details: object = "") -> None:
        """Count a check; record a violation with its details if the promise does not hold."""
        self.checks[promise] += 1
        if not holds:
            elapsed_s = time.monotonic() - self.started_at
            self.violations.append(
                f"{elapsed_s:.2f} s: {promise}: {str(details)[:MAX_DETAIL_CHARS]}"
            )
            _LOGGER.error("promise violated: %s", self.violations[-1])

    def monitor(self, greenlet: gevent.Greenlet) -> gevent.Greenlet:
        """Record a violation if the greenlet ends with an error; return the greenlet."""
        greenlet.link_exception(
            lambda failed: self.check(
                "every part of the soak runs on", False, repr(failed.exception)
            )
        )
        return greenlet

    def check_or_skip(self, promise: str, holds: bool | None, details: object = "") -> None:
        """Check, or count a skipped check if `holds` is `None` because the host was overloaded."""
        if holds is None:
            self.skipped[promise] += 1
        else:
            self.check(promise, holds, details)

    def record_fault(self, kind: str, details: str) -> None:
        """Count a fault and log it."""
        self.faults[kind] += 1
        _LOGGER.info("%.2f s: %s %s", time.monotonic() - self.started_at, kind, details)
