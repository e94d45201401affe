"""Finds the lines of sections and keys for error messages."""

from spindle_decisions.exceptions import NoteError


class LineIndex:
    """The line numbers of all sections and keys of a note, counted from 1."""

    def __init__(self) -> None:
        self.sections: dict[str, int] = {}
        self.keys: dict[tuple[str, str], int] = {}

    def line_of(self, section: str, key: str | None = None) -> int:
        """Return the line of a key, or that of its section if the key is missing."""
        line = self.sections.get(section, 0)
        if key is None:
            return line
        return self.keys.get((section, key), line)


def create_line_index(text: str) -> LineIndex:
    """Create the index of a note; raise `NoteError` for text after a section header."""
    index = LineIndex()
    section = ""
    for number, line in enumerate(text.split("\n"), start=1):
        stripped = line.strip()
        if not stripped.startswith("["):
            key = stripped.partition("=")[0].strip()
            index.keys.setdefault((section, key), number)
            continue
        if not stripped.endswith("]"):
            raise NoteError(f"line {number}: allowed is a section in brackets and nothing behind")
        section = stripped[1:-1]
        index.sections.setdefault(section, number)
    return index
