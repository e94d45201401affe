"""Checks of answers against what upstreams ran."""

import heapq
from collections import defaultdict

from spindle_decisions.routing.records import RECORD_BYTES
from spindle_platform.platform_adapter import HEADERS
from tests.soak import const
from tests.soak.document import SHARDS
from tests.soak.ledger import Ledger
from tests.soak.outcome import Outcome
from tests.soak.run import Run
from tests.soak.shard_records import shard_records

ORDER = "order"
SEARCH = "search"
# These say that the request has not run and will not.
NOT_RUN = frozenset((408, 421, 429, 503))
MAX_ATTEMPTS = 2


class AnswerCheck:
    """Compares each outcome with the runs at the upstreams."""

    def __init__(self, ledger: Ledger, runs: list[Run]) -> None:
        self.ledger = ledger
        self.runs = runs
        self.indexed = 0
        self.by_id: defaultdict[str, list[Run]] = defaultdict(list)
        self.outcomes: list[Outcome] = []

    def take(self, outcome: Outcome) -> None:
        """Check an outcome as it comes."""
        self.outcomes.append(outcome)
        answer = outcome.answer
        self.ledger.check(
            "no request of a standing route is denied",
            answer.status not in (400, 401, 403, 404, 413, 431),
            (outcome.request_id, answer.status),
        )
        if outcome.served:
            self._own_answer(outcome)
        self._runs(outcome)

    def finish(self) -> None:
        """Check again what may not happen later either, and forget the outcomes."""
        for outcome in self.outcomes:
            self._runs(outcome)
        self.outcomes.clear()

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of a request so far."""
        for run in self.runs[self.indexed :]:
            self.by_id[run.request_id].append(run)
        self.indexed = len(self.runs)
        return self.by_id[request_id]

    def _runs(self, outcome: Outcome) -> None:
        runs = self.runs_of(outcome.request_id)
        seen = (outcome.request_id, outcome.answer.status, runs)
        if outcome.kind == ORDER:
            self.ledger.check("an order runs at most once", len(runs) <= 1, seen)
            if outcome.answer.status in NOT_RUN:
                self.ledger.check("what was refused as not run did not run", not runs, seen)
        services = [run.service for run in runs]
        tries = max(map(services.count, services), default=0)
        self.ledger.check("no more tries than the route allows", tries <= MAX_ATTEMPTS, seen)

    def _own_answer(self, outcome: Outcome) -> None:
        if outcome.kind == SEARCH:
            self._gathered(outcome)
            return
        answer = outcome.answer
        stamp = answer.headers.get(HEADERS.signature, "")
        runs = {run.stamp: run for run in self.runs_of(outcome.request_id) if run.good}
        run = runs.get(stamp)
        own = run is not None and answer.body == shard_records(run.service, outcome.target)
        self.ledger.check("an answer is the caller's own", own, (outcome.request_id, stamp))

    def _gathered(self, outcome: Outcome) -> None:
        answer = outcome.answer
        listed = answer.headers.get(HEADERS.part_signatures.lower(), "")
        stamps = [item.strip() for item in listed.split(",") if item.strip()]
        missing = int(answer.headers.get(HEADERS.missing_parts.lower(), "-1"))
        runs = {run.stamp: run for run in self.runs_of(outcome.request_id) if run.good}
        services = {runs[stamp].service for stamp in stamps if stamp in runs}
        true = len(services) == len(stamps) and len(services) + missing == len(SHARDS)
        seen = (outcome.request_id, stamps, missing)
        self.ledger.check("coverage is told truly", true, seen)
        records = [
            record
            for service in services
            for record in _records(shard_records(service, outcome.target))
        ]
        greatest = b"".join(heapq.nlargest(const.TOP, records))
        self.ledger.check("a search gives the greatest records", answer.body == greatest, seen)


def _records(body: bytes) -> list[bytes]:
    return [body[at : at + RECORD_BYTES] for at in range(0, len(body), RECORD_BYTES)]
