"""The caller of a request, as the serving path sees it."""

from collections.abc import Callable
from typing import Protocol


class CallerConnection(Protocol):
    """Tells when the caller goes away."""

    def watch_disconnect(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once, on the loop, when the caller closes its connection."""

    def unwatch(self) -> None:
        """Stop watching."""
