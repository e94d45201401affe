"""The caller of a request, as the serving path sees it."""

from collections.abc import Callable
from typing import Protocol


class Caller(Protocol):
    """Tells when the caller goes away."""

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` once, on the loop, when the caller closes its connection."""

    def unwatch(self) -> None:
        """Stop watching."""
