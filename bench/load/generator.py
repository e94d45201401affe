"""The open-loop load generator."""

import random
import time

import gevent

from bench.load import const
from bench.load.answer_check import AnswerCheck, ServicesByEpoch
from bench.load.arrivals import poisson_arrivals
from bench.load.caller import Caller
from bench.load.load_run import LoadRun
from bench.load.load_settings import LoadSettings
from bench.load.query_record import QueryRecord


class LoadGenerator:
    """Sends each query at its arrival time, whether or not earlier ones have ended."""

    def __init__(self, settings: LoadSettings, services: ServicesByEpoch) -> None:
        check = AnswerCheck(services)
        self.settings = settings
        self.callers = [Caller(settings, n, check) for n in range(len(settings.entries))]
        self.active_entries = list(range(len(self.callers)))
        self.send_lag_max_s = 0.0
        self.started = 0.0

    def run(self) -> LoadRun:
        """Offer the load; return its records after the last query has ended."""
        settings = self.settings
        rng = random.Random(settings.seed)
        self.started = time.monotonic() + const.START_DELAY_S
        greenlets: list[gevent.Greenlet] = []
        for number, at_s in enumerate(
            poisson_arrivals(rng, settings.rate_per_s, settings.duration_s)
        ):
            gevent.sleep(max(0.0, self.started + at_s - time.monotonic()))
            greenlets.append(gevent.spawn(self._ask, number, at_s))
        gevent.joinall(greenlets, raise_error=True)
        records = [greenlet.value for greenlet in greenlets]
        for caller in self.callers:
            caller.close()
        return LoadRun(records, self.send_lag_max_s * const.MS_PER_S, self.started)

    def remove_entry(self, entry: int) -> None:
        """Stop sending to an entry instance, as a load balancer does."""
        self.active_entries.remove(entry)

    def add_entry(self, entry: int) -> None:
        """Resume sending to an entry instance."""
        self.active_entries.append(entry)

    def _ask(self, number: int, at_s: float) -> QueryRecord:
        intended = self.started + at_s
        self.send_lag_max_s = max(self.send_lag_max_s, time.monotonic() - intended)
        caller = self.callers[self.active_entries[number % len(self.active_entries)]]
        return caller.ask(f"{self.settings.prefix}-{number}", at_s, intended)


def offer_load(settings: LoadSettings, services: ServicesByEpoch | None = None) -> LoadRun:
    """Offer load and return the records of all queries."""
    return LoadGenerator(settings, services or {}).run()
