"""Shares that are never rounded in favour of the page."""

PER_CENT = 100
HUNDREDTHS_PER_UNIT = 10_000


def ratio(part: int, whole: int) -> float | None:
    """Return `part` over `whole`, or `None` when there is nothing to divide by."""
    return part / whole if whole else None


def percent_down(part: int, whole: int) -> str:
    """Write a share of good things, rounded down: 9,999 of 10,001 is `99.98%`."""
    if not whole:
        return "none"
    return _hundredths(part * HUNDREDTHS_PER_UNIT // whole)


def percent_up(part: int, whole: int) -> str:
    """Write a share of bad things, rounded up: 1 of 100,000 is `0.01%`."""
    if not whole:
        return "none"
    return _hundredths(-(-part * HUNDREDTHS_PER_UNIT // whole))


def _hundredths(value: int) -> str:
    return f"{value // PER_CENT}.{value % PER_CENT:02}%"
