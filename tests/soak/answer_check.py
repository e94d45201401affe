"""Checks answers against the executions at the upstreams."""

from collections import defaultdict

from spindle_platform.platform_adapter import HEADERS
from tests.soak.ledger import CheckResults
from tests.soak.outcome import Outcome
from tests.soak.plan_document import SHARDS
from tests.soak.shard_records import shard_records, top_records
from tests.soak.soak_execution import SoakExecution

ORDER = "order"
SEARCH = "search"
# Status codes which state that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MAX_ATTEMPTS = 2


class AnswerCheck:
    """Compares each outcome with the executions at the upstreams."""

    def __init__(self, results: CheckResults, executions: list[SoakExecution]) -> None:
        self.results = results
        self.executions = executions
        self.indexed_count = 0
        self.by_id: defaultdict[str, list[SoakExecution]] = defaultdict(list)
        self.outcomes: list[Outcome] = []

    def on_outcome(self, outcome: Outcome) -> None:
        """Check a new outcome and keep it for `recheck`."""
        self.outcomes.append(outcome)
        answer = outcome.answer
        self.results.check(
            "no request of a standing route is denied",
            answer.status not in (400, 401, 403, 404, 413, 431),
            (outcome.request_id, answer.status),
        )
        if outcome.served:
            self._check_own_answer(outcome)
        self._check_executions(outcome)

    def recheck(self) -> None:
        """Check the executions of all kept outcomes again, as one may start late; drop them."""
        for outcome in self.outcomes:
            self._check_executions(outcome)
        self.outcomes.clear()

    def executions_of(self, request_id: str) -> list[SoakExecution]:
        """Return the executions of a request so far."""
        for execution in self.executions[self.indexed_count :]:
            self.by_id[execution.request_id].append(execution)
        self.indexed_count = len(self.executions)
        return self.by_id[request_id]

    def _check_executions(self, outcome: Outcome) -> None:
        executions = self.executions_of(outcome.request_id)
        details = (outcome.request_id, outcome.answer.status, executions)
        if outcome.kind == ORDER:
            self.results.check("an order runs at most once", len(executions) <= 1, details)
            if outcome.answer.status in NOT_RUN_STATUSES:
                self.results.check(
                    "what was refused as not run did not run", not executions, details
                )
        services = [execution.service for execution in executions]
        attempts = max(map(services.count, services), default=0)
        self.results.check("no more tries than the route allows", attempts <= MAX_ATTEMPTS, details)

    def _check_own_answer(self, outcome: Outcome) -> None:
        if outcome.kind == SEARCH:
            self._check_gathered(outcome)
            return
        answer = outcome.answer
        signature = answer.headers.get(HEADERS.signature, "")
        executions = {
            execution.signature: execution
            for execution in self.executions_of(outcome.request_id)
            if execution.valid
        }
        execution = executions.get(signature)
        is_own = execution is not None and answer.body == shard_records(
            execution.service, outcome.target
        )
        self.results.check("an answer is the caller's own", is_own, (outcome.request_id, signature))

    def _check_gathered(self, outcome: Outcome) -> None:
        answer = outcome.answer
        listed = answer.headers.get(HEADERS.part_signatures.lower(), "")
        signatures = [item.strip() for item in listed.split(",") if item.strip()]
        missing = int(answer.headers.get(HEADERS.missing_parts.lower(), "-1"))
        executions = {
            execution.signature: execution
            for execution in self.executions_of(outcome.request_id)
            if execution.valid
        }
        services = {
            executions[signature].service for signature in signatures if signature in executions
        }
        consistent = len(services) == len(signatures) and len(services) + missing == len(SHARDS)
        details = (outcome.request_id, signatures, missing)
        self.results.check("coverage is told truly", consistent, details)
        greatest = top_records(services, outcome.target)
        self.results.check("a search gives the greatest records", answer.body == greatest, details)
