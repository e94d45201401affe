"""Background query load of a control experiment."""

import contextlib

import gevent

from bench.caller import Caller
from bench.deployment import Deployment


class BackgroundLoad:
    """Context manager that sends queries at a fixed rate, distributed over all entries.

    `queries_per_s` is the rate over all entries together; 0 sends no queries.
    """

    def __init__(self, deployment: Deployment, group: str, queries_per_s: float) -> None:
        self.callers = [Caller(entry.entry_port) for entry in deployment.plan.entries]
        self.group = group
        self.interval_s = len(self.callers) / queries_per_s if queries_per_s else 0.0
        self.answered = 0
        self.greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> "BackgroundLoad":
        """Start the load."""
        if self.interval_s:
            self.greenlets = [gevent.spawn(self._ask_forever, caller) for caller in self.callers]
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop the load."""
        gevent.killall(self.greenlets)

    def _ask_forever(self, caller: Caller) -> None:
        while True:
            gevent.spawn(self._ask, caller)
            gevent.sleep(self.interval_s)

    def _ask(self, caller: Caller) -> None:
        with contextlib.suppress(OSError):
            self.answered += caller.query(self.group).status == 200
