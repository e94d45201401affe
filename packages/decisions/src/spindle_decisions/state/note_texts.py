"""The texts of the newest notes, from which deltas are made."""

import collections

from spindle_decisions.state.const import MAX_NOTE_TEXTS, MAX_NOTE_TEXTS_BYTES


class NoteTexts:
    """The texts of the notes that led to the newest versions, bounded in number and size."""

    def __init__(self, version: int, texts: tuple[str, ...] = ()) -> None:
        self.version = version
        self.size_bytes = 0
        self._texts: collections.deque[str] = collections.deque()
        for text in texts:
            self._add(text)

    def append(self, version: int, text: str) -> None:
        """Add the text that led to the version, and drop the oldest ones over the bounds."""
        self.version = version
        self._add(text)

    def between(self, from_version: int, to_version: int) -> tuple[str, ...] | None:
        """Return the texts that lead from one version to another, or `None` if not kept."""
        oldest = self.version - len(self._texts)
        if not oldest <= from_version <= to_version <= self.version:
            return None
        texts = tuple(self._texts)
        return texts[from_version - oldest : to_version - oldest]

    def all(self) -> tuple[str, ...]:
        """Return the kept texts, oldest first."""
        return tuple(self._texts)

    def _add(self, text: str) -> None:
        self._texts.append(text)
        self.size_bytes += len(text.encode())
        while len(self._texts) > MAX_NOTE_TEXTS or self.size_bytes > MAX_NOTE_TEXTS_BYTES:
            self.size_bytes -= len(self._texts.popleft().encode())
