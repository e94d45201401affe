"""What was checked and what was found broken."""

import logging
import time
from collections import Counter

import gevent

_LOGGER = logging.getLogger(__name__)
MAX_SHOWN = 300


class Ledger:
    """Counts checks by promise and keeps each broken one, with the time since the start."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.checks: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.broken: list[str] = []
        # Seconds in which the machine was not at ease, and what was not judged for that.
        self.uneasy_s = 0.0
        self.not_judged: Counter[str] = Counter()

    def check(self, promise: str, holds: bool, what: object = "") -> None:
        """Count a check; note what was seen where the promise does not hold."""
        self.checks[promise] += 1
        if not holds:
            at = time.monotonic() - self.started
            self.broken.append(f"{at:.2f} s: {promise}: {str(what)[:MAX_SHOWN]}")
            _LOGGER.error("broken: %s", self.broken[-1])

    def watch(self, greenlet: gevent.Greenlet) -> gevent.Greenlet:
        """Note it as broken if a part of the soak ends with an error; return that part."""
        greenlet.link_exception(
            lambda ended: self.check("every part of the soak runs on", False, repr(ended.exception))
        )
        return greenlet

    def judge(self, promise: str, holds: bool | None, what: object = "") -> None:
        """Check, but for `None`: then the machine was not at ease for long enough to tell."""
        if holds is None:
            self.not_judged[promise] += 1
        else:
            self.check(promise, holds, what)

    def fault(self, kind: str, what: str) -> None:
        """Count a fault and log it."""
        self.faults[kind] += 1
        _LOGGER.info("%.2f s: %s %s", time.monotonic() - self.started, kind, what)
