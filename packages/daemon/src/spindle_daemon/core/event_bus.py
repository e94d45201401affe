"""The event bus, which connects components without direct references."""

import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

_LOGGER = logging.getLogger(__name__)

EventT = TypeVar("EventT")
Listener = Callable[[Any], None]


class EventBus:
    """Delivers typed events to listeners on the event loop, in order of registration.

    An exception in a listener is logged, and the other listeners still run.
    """

    def __init__(self) -> None:
        self.listeners: dict[type[Any], list[Listener]] = defaultdict(list)

    def listen(self, event_type: type[EventT], listener: Callable[[EventT], None]) -> None:
        """Call `listener` for every event of that type."""
        self.listeners[event_type].append(listener)

    def fire(self, event: object) -> None:
        """Deliver an event to all listeners of its type."""
        for listener in self.listeners[type(event)]:
            try:
                listener(event)
            except Exception:
                _LOGGER.exception("bus: listener failed for %s", type(event).__name__)
