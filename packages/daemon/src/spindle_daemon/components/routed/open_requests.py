"""The requests in progress and the time by which each must have an answer."""

import contextlib
import math
from collections.abc import Iterator
from typing import Protocol


class RequestRunner(Protocol):
    """Runs one request until it has an answer."""

    def end_by(self, at: float) -> None:
        """Answer at `at` at the latest, with what is there by then."""


class OpenRequests:
    """Bounds the time of all requests once the stop of the process has a fixed end.

    Without that, the end of the process would cut off the last ones without an answer.
    Example:

        with open_requests.running(runner):
            answer = runner.run()
        ...
        open_requests.end_by(clock.now() + 5.0)
    """

    def __init__(self) -> None:
        self.runners: set[RequestRunner] = set()
        self.end_at = math.inf

    def end_by(self, at: float) -> None:
        """End each request, also those that are yet to come, by the time `at`."""
        self.end_at = min(self.end_at, at)
        for runner in tuple(self.runners):
            runner.end_by(self.end_at)

    def add(self, runner: RequestRunner) -> None:
        """Add a runner, and bound its time."""
        self.runners.add(runner)
        if self.end_at < math.inf:
            runner.end_by(self.end_at)

    def discard(self, runner: RequestRunner) -> None:
        """Remove a runner that has ended."""
        self.runners.discard(runner)

    @contextlib.contextmanager
    def running(self, runner: RequestRunner) -> Iterator[None]:
        """Hold a runner while it runs."""
        self.add(runner)
        try:
            yield
        finally:
            self.discard(runner)
