"""Appended commands whose results are pending."""

from collections.abc import Callable

from spindle_decisions.commands.command import Result

ResultListener = Callable[[Result | None], None]


class PendingProposals:
    """Keeps the listeners for the results of proposed commands, by log index.

    If the entry that is applied at an index has another term than the proposed
    one, the command is not in the log, and its listener gets `None`.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, list[tuple[int, ResultListener]]] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, index: int, term: int, listener: ResultListener) -> None:
        """Register a listener for the entry of `term` at `index`."""
        self.waiting.setdefault(index, []).append((term, listener))

    def on_applied(self, index: int, term: int, result: Result | None) -> None:
        """Pass the result of an applied entry to its listeners."""
        for proposed_term, listener in self.waiting.pop(index, []):
            listener(result if proposed_term == term else None)

    def discard_through(self, index: int) -> None:
        """Pass `None` to all listeners up to an index, as a snapshot skipped their results."""
        for covered in [item for item in self.waiting if item <= index]:
            for _, listener in self.waiting.pop(covered):
                listener(None)
