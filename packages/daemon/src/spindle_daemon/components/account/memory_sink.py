"""Minute summaries in memory."""

from collections.abc import Iterable


class MemorySink:
    """Keeps minute summaries until the process ends; they do not survive a restart."""

    def __init__(self) -> None:
        self.kept: dict[tuple[str, int, int], bytes] = {}

    def put(self, instance: str, incarnation: int, minute: int, data: bytes) -> None:
        """Keep a summary."""
        self.kept[(instance, incarnation, minute)] = data

    def load(self, first_minute: int, last_minute: int) -> Iterable[bytes]:
        """Return the summaries of the minutes from first to last, both included."""
        return [data for key, data in self.kept.items() if first_minute <= key[2] <= last_minute]

    def days(self) -> tuple[str, ...]:
        """Return no days: nothing here is on disk."""
        return ()

    def forget(self, day: str) -> None:
        """Do nothing."""
