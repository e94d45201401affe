"""What happened to one routed request, for its log line."""

from spindle_daemon.components.routed.attempt_result import AttemptResult
from spindle_decisions.routing.attempt_cause import FIRST
from spindle_decisions.routing.upstream_attempt import UpstreamAttempt

MAX_FAILURES_KEPT = 8


class RequestTrace:
    """Sends by cause, the first failures, and how a gather ended.

    `beliefs` is what the decisions rested on: versions and ages. `unsent` has the
    shards for which no upstream could be chosen.
    """

    def __init__(self) -> None:
        self.route = ""
        self.beliefs: dict[str, object] = {}
        self.sends = 0
        self.repeats: dict[str, int] = {}
        self.notes: list[str] = []
        self.unsent: list[str] = []
        self.upstream = ""
        self.end = ""
        self.parts = 0
        self.shards = 0

    def sent(self, send: UpstreamAttempt) -> None:
        """Note a send."""
        self.sends += 1
        self.upstream = send.replica.upstream_id
        if send.cause != FIRST:
            self.repeats[send.cause] = self.repeats.get(send.cause, 0) + 1

    def failed(self, result: AttemptResult) -> None:
        """Note a send that brought nothing."""
        if len(self.notes) < MAX_FAILURES_KEPT:
            listed = result.send.replica.listed
            self.notes.append(
                f"{result.send.cause} {listed.service} {listed.upstream_id}: {result.reason}"[:160]
            )

    def gathered(self, end: str, parts: int, shards: int) -> None:
        """Note why a gather ended and what it brought."""
        self.end = end
        self.parts = parts
        self.shards = shards
