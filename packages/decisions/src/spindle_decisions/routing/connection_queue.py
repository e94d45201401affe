"""Requests that wait for a connection to an upstream."""

from collections import deque
from collections.abc import Callable

# Called when a connection is free; returns whether the waiting request still needs it.
Waiter = Callable[[], bool]


class ConnectionQueue:
    """Waiting requests by service, first come first served.

    Example: `add("s1", waiter)` queues a request; `notify("s1")`, called when a request
    to an upstream of `s1` has ended, calls the waiters in order until one returns true.
    """

    def __init__(self) -> None:
        self.waiters: dict[str, deque[Waiter]] = {}

    def add(self, service: str, waiter: Waiter) -> None:
        """Queue a waiter behind the others of its service."""
        self.waiters.setdefault(service, deque()).append(waiter)

    def notify(self, service: str) -> None:
        """Offer a free connection to the first waiter that still needs one."""
        waiters = self.waiters.get(service)
        while waiters:
            if waiters.popleft()():
                break
        if not waiters:
            self.waiters.pop(service, None)

    def length(self, service: str) -> int:
        """Return how many waiters a service has, including those that no longer wait."""
        return len(self.waiters.get(service, ()))
