"""The interface of the storage of minute summaries."""

from collections.abc import Iterable
from typing import Protocol


class SummarySink(Protocol):
    """Stores minute summaries on the disk of a control instance.

    It may keep every summary or only the last one of the same instance, incarnation
    and minute; readers use the highest revision. It limits the days and bytes that
    it keeps, and refuses a summary that does not fit.
    """

    def put(self, instance: str, incarnation: int, minute: int, data: bytes) -> None:
        """Write a summary and sync it to disk; block the calling greenlet until then.

        Raises `StorageError` if the summary is refused or may not be on disk.
        """

    def load(self, first_minute: int, last_minute: int) -> Iterable[bytes]:
        """Return the summaries of the minutes from first to last, both inclusive."""

    def days(self) -> tuple[str, ...]:
        """Return the days with stored summaries as `YYYY-MM-DD`, in order."""
