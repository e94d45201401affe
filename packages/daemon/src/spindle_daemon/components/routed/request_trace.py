"""Attempts and failures of one routed request, for its log line."""

from spindle_daemon.components.routed.attempt_result import AttemptResult
from spindle_decisions.routing.attempt_cause import FIRST
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt

MAX_FAILURES_KEPT = 8


class RequestTrace:
    """Records attempts, the first failures, and how a gather ended.

    `decision_inputs` are the versions and ages on which the decisions were based.
    `extra_attempts` counts hedges and retries by cause. `not_sent_shards` are the
    shards for which no upstream was available, and `limited_shard_count` is how many shards
    were given up while an upstream of them was withheld by its rate limit. `broken_count`
    counts attempts whose connection ended without an answer; `fingerprint` is that of the
    request, set with the first of them.
    """

    def __init__(self) -> None:
        self.route = ""
        self.decision_inputs: dict[str, object] = {}
        self.attempt_count = 0
        self.extra_attempts: dict[str, int] = {}
        self.failures: list[str] = []
        self.not_sent_shards: list[str] = []
        self.limited_shard_count = 0
        self.broken_count = 0
        self.fingerprint = ""
        self.upstream = ""
        self.end_reason = ""
        self.part_count = 0
        self.shard_count = 0

    def record_attempt(self, attempt: UpstreamAttempt) -> None:
        """Record an attempt."""
        self.attempt_count += 1
        self.upstream = attempt.replica.upstream_id
        if attempt.cause != FIRST:
            self.extra_attempts[attempt.cause] = self.extra_attempts.get(attempt.cause, 0) + 1

    def record_failure(self, result: AttemptResult) -> None:
        """Record an attempt without a usable answer."""
        self.broken_count += result.broken
        if len(self.failures) < MAX_FAILURES_KEPT:
            listed = result.attempt.replica.listed
            self.failures.append(
                f"{result.attempt.cause} {listed.service} {listed.upstream_id}: {result.reason}"[
                    :160
                ]
            )

    def record_gather_outcome(self, reason: str, part_count: int, shard_count: int) -> None:
        """Record why a gather ended, and its numbers of parts and shards."""
        self.end_reason = reason
        self.part_count = part_count
        self.shard_count = shard_count
