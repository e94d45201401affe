"""Interface to the connection of a caller."""

from collections.abc import Callable
from typing import Protocol


class CallerConnection(Protocol):
    """Detects that the caller has disconnected."""

    def watch_disconnect(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once, on the loop, when the caller closes its connection."""

    def unwatch(self) -> None:
        """Stop watching."""
