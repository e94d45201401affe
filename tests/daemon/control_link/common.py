"""Fakes for the tests of the control link."""

from collections.abc import Callable
from typing import Any

from spindle_decisions.timeline.event_kind import EventKind


class ManualClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        return self.seconds

    def wall_ms(self) -> int:
        return int(self.seconds * 1000)


class NullTimeline:
    """A timeline that discards all events."""

    def add(self, kind: EventKind, reason: str = "", **_fields: object) -> None:
        """Discard the event."""


class FakeTransport:
    """Records sent messages, and delivers messages from a test to the handlers."""

    name = "entry-1"

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []
        self.handlers: dict[type[Any], Callable[[str, Any], None]] = {}

    def register_handler(self, kind: type[Any], handler: Callable[[str, Any], None]) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: Any) -> bool:
        self.sent.append((address, message))
        return True

    def deliver(self, sender: str, message: Any) -> None:
        self.handlers[type(message)](sender, message)
