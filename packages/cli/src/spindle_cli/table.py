"""Plain tables for a terminal."""

from collections.abc import Iterable, Sequence

COLUMN_GAP = "  "


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Format rows as left-aligned columns, which text tools can split."""
    lines = [list(header), *(list(row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(_line(line, widths) for line in lines)


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()
