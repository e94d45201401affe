"""Simulates rules for claims: how many requests run twice, and what resends are answered.

Each request is sent up to four times by its caller. Entries crash before or after
they dispatch it, upstreams report that it did not run, and records arrive late or
twice. Example: `python -m bench.claim_trial --seed 1`.
"""

import enum
import random
import uuid
from collections.abc import Callable
from typing import Annotated

import msgspec
import typer

from spindle_decisions.claims.claim_table import ClaimTable, create_claim_table
from spindle_decisions.commands.claim_granted import ClaimGranted
from spindle_decisions.commands.claim_held import ClaimHeld
from spindle_decisions.commands.claim_run import ClaimRun
from spindle_decisions.commands.record_outcome import RecordOutcome

START_MS = 1_790_000_000_000
REQUESTS = 20_000
ATTEMPTS = ("a", "b", "c", "d")
FAULT_RATIO = 0.1
LATE_RATIO = 0.2
TWICE_RATIO = 0.2


class DispatchResult(enum.Enum):
    """The result of a dispatch: the entry crashes before or after it, or gets a reply."""

    DIED_BEFORE = 0
    NOT_RUN = 1
    DIED_AFTER = 2
    ANSWERED = 3


ANSWERS = {
    DispatchResult.DIED_BEFORE: "unknown",
    DispatchResult.NOT_RUN: "not run",
    DispatchResult.DIED_AFTER: "unknown",
    DispatchResult.ANSWERED: "known",
}


class RuleResult(msgspec.Struct):
    """The results of all requests under one rule."""

    run_twice: int = 0
    told_two_outcomes: int = 0
    known: int = 0
    unknown: int = 0
    not_run: int = 0

    def add(self, answer: str) -> None:
        """Count the last answer to a caller."""
        self.known += answer == "known"
        self.unknown += answer == "unknown"
        self.not_run += answer == "not run"


class Rule:
    """The rule in use: the first record decides, and no timeout releases a claim."""

    def __init__(self) -> None:
        self.table: ClaimTable = create_claim_table()

    def claim(self, command: ClaimRun) -> ClaimGranted | ClaimHeld:
        """Grant or refuse a claim."""
        result = self.table.claim(command)
        assert isinstance(result, ClaimGranted | ClaimHeld), result
        return result

    def record(self, command: RecordOutcome) -> None:
        """Process the record of an outcome."""
        self.table.record(command)


class RequeueRule(Rule):
    """A rule that releases open claims by timeout, so that a resend runs again."""

    def __init__(self) -> None:
        super().__init__()
        self.holders: dict[str, str] = {}

    def claim(self, command: ClaimRun) -> ClaimGranted | ClaimHeld:
        """Grant or refuse a claim; a resend arrives after the timeout of the open claim."""
        holder = self.holders.get(command.request_id)
        if holder is not None:
            self.record(RecordOutcome(command.request_id, holder, False, 0, b"", START_MS))
        result = super().claim(command)
        if isinstance(result, ClaimGranted):
            self.holders[command.request_id] = command.attempt
        return result


class LastRecordRule(Rule):
    """A rule in which the last record decides, whichever attempt it is from."""

    def __init__(self) -> None:
        super().__init__()
        self.last_records: dict[str, RecordOutcome | None] = {}

    def claim(self, command: ClaimRun) -> ClaimGranted | ClaimHeld:
        """Grant a claim if there is none, or if the last record reports that it did not run."""
        record = self.last_records.get(command.request_id)
        if command.request_id not in self.last_records or (record is not None and not record.ran):
            self.last_records[command.request_id] = None
            return ClaimGranted(command.request_id, command.attempt)
        body = b"" if record is None else record.body
        return ClaimHeld(command.request_id, "", record is not None, 200, body)

    def record(self, command: RecordOutcome) -> None:
        """Process the record of an outcome."""
        self.last_records[command.request_id] = command


class NoClaimRule(Rule):
    """A rule without claims: every attempt runs."""

    def claim(self, command: ClaimRun) -> ClaimGranted | ClaimHeld:
        """Grant every claim."""
        return ClaimGranted(command.request_id, command.attempt)


RULES: dict[str, Callable[[], Rule]] = {
    "first record": Rule,
    "first record, timeout releases": RequeueRule,
    "last record": LastRecordRule,
    "no claim": NoClaimRule,
}


def main(seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1) -> None:
    """Simulate the same requests under every rule and print the counts."""
    print(f"{'rule':32} {'twice':>7} {'conflict':>8} {'known':>7} {'unknown':>7} {'not run':>7}")
    for name, create in RULES.items():
        counts = RuleResult()
        for number in range(REQUESTS):
            _run_request(create(), random.Random(f"{seed}/{number}"), number, counts)
        print(
            f"{name:32} {counts.run_twice:7} {counts.told_two_outcomes:8} "
            f"{counts.known:7} {counts.unknown:7} {counts.not_run:7}"
        )


def _run_request(rule: Rule, rng: random.Random, number: int, counts: RuleResult) -> None:
    request_id = str(uuid.UUID(int=(START_MS << 80) | (7 << 76) | (2 << 62) | number))
    runs = 0
    answers: set[bytes] = set()
    late: list[RecordOutcome] = []
    answer = "unknown"
    for attempt in ATTEMPTS:
        dispatch = _draw_dispatch(rng)
        slow, twice = rng.random() < LATE_RATIO, rng.random() < TWICE_RATIO
        result = rule.claim(ClaimRun(request_id, "digest", attempt, "entry", START_MS))
        if isinstance(result, ClaimHeld):
            answer = "known" if result.recorded else "unknown"
            answers |= {result.body} if result.recorded else set()
        else:
            runs += dispatch in (DispatchResult.ANSWERED, DispatchResult.DIED_AFTER)
            answer = ANSWERS[dispatch]
            answers |= {attempt.encode()} if dispatch is DispatchResult.ANSWERED else set()
            for record in _records(request_id, attempt, dispatch, twice):
                (late.append if slow or late else rule.record)(record)
                slow = True
        if late and rng.random() < 0.5:
            rule.record(late.pop(0))
    counts.run_twice += runs > 1
    counts.told_two_outcomes += len(answers) > 1
    counts.add(answer)


def _draw_dispatch(rng: random.Random) -> DispatchResult:
    answered = 1 - 3 * FAULT_RATIO
    weights = [FAULT_RATIO, FAULT_RATIO, FAULT_RATIO, answered]
    dispatches = [
        DispatchResult.DIED_BEFORE,
        DispatchResult.NOT_RUN,
        DispatchResult.DIED_AFTER,
        DispatchResult.ANSWERED,
    ]
    return rng.choices(dispatches, weights)[0]


def _records(
    request_id: str, attempt: str, dispatch: DispatchResult, twice: bool
) -> list[RecordOutcome]:
    if dispatch not in (DispatchResult.ANSWERED, DispatchResult.NOT_RUN):
        return []
    ran = dispatch is DispatchResult.ANSWERED
    record = RecordOutcome(request_id, attempt, ran, 200, attempt.encode(), START_MS)
    return [record, record] if twice else [record]


if __name__ == "__main__":
    typer.run(main)
