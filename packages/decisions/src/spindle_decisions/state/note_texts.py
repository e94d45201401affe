"""The texts of the newest notes, which are sent as deltas of the catalog."""

import collections

from spindle_decisions.state.const import MAX_NOTE_TEXTS, MAX_NOTE_TEXTS_BYTES


class NoteTexts:
    """The texts of the newest notes, one per catalog version, limited in number and size."""

    def __init__(self, version: int, texts: tuple[str, ...] = ()) -> None:
        self.version = version
        self.size_bytes = 0
        self._texts: collections.deque[str] = collections.deque()
        for text in texts:
            self._add(text)

    def append(self, version: int, text: str) -> None:
        """Append the text of the note that created the version; drop the oldest over the limits."""
        self.version = version
        self._add(text)

    def between(self, from_version: int, to_version: int) -> tuple[str, ...] | None:
        """Return the texts of the notes between two versions, or `None` if not all are kept."""
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
