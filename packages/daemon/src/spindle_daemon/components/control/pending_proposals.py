"""Commands that were appended and wait for their result."""

from collections.abc import Callable

from spindle_decisions.commands.command import Result

ResultListener = Callable[[Result | None], None]


class PendingProposals:
    """Finds who waits for the entry at an index.

    An entry of another term at that index means that the proposed command is
    not in the log; its waiter then gets `None`.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, list[tuple[int, ResultListener]]] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, index: int, term: int, listener: ResultListener) -> None:
        """Wait for the entry of `term` at `index`."""
        self.waiting.setdefault(index, []).append((term, listener))

    def on_applied(self, index: int, term: int, result: Result | None) -> None:
        """Hand the result of an applied entry to whoever waits for it."""
        for proposed_term, listener in self.waiting.pop(index, []):
            listener(result if proposed_term == term else None)

    def discard_through(self, index: int) -> None:
        """Give up all waiters up to an index whose results were never seen here."""
        for covered in [item for item in self.waiting if item <= index]:
            for _, listener in self.waiting.pop(covered):
                listener(None)
