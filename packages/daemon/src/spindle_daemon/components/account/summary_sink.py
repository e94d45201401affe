"""Where a control instance keeps minute summaries."""

from collections.abc import Iterable
from typing import Protocol


class SummarySink(Protocol):
    """Minute summaries on the disk of a control instance.

    The sink may keep every summary it was given or only the last one of the
    same instance, incarnation and minute; readers take the highest revision. It
    bounds the number of days and the bytes that it keeps, and refuses what does
    not fit.
    """

    def put(self, instance: str, incarnation: int, minute: int, data: bytes) -> None:
        """Write a summary; return once it is synced to disk.

        Blocks the calling greenlet. Raises `StorageError` when the summary is
        refused or not safely on disk.
        """

    def load(self, first_minute: int, last_minute: int) -> Iterable[bytes]:
        """Return the summaries of the minutes from first to last, both included."""

    def days(self) -> tuple[str, ...]:
        """Return the days of which something is kept, as `YYYY-MM-DD`, in order."""
