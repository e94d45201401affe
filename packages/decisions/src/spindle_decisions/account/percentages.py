"""Ratios and percentages, rounded so that a day never looks better than it was."""

PER_CENT = 100
BASIS_POINTS_PER_UNIT = 10_000


def ratio(part: int, whole: int) -> float | None:
    """Return `part` divided by `whole`, or `None` if `whole` is 0."""
    return part / whole if whole else None


def percent_down(part: int, whole: int) -> str:
    """Format a percentage of successes, rounded down: 9,999 of 10,001 is `99.98%`."""
    if not whole:
        return "none"
    return _format_basis_points(part * BASIS_POINTS_PER_UNIT // whole)


def percent_up(part: int, whole: int) -> str:
    """Format a percentage of failures, rounded up: 1 of 100,000 is `0.01%`."""
    if not whole:
        return "none"
    return _format_basis_points(-(-part * BASIS_POINTS_PER_UNIT // whole))


def _format_basis_points(value: int) -> str:
    return f"{value // PER_CENT}.{value % PER_CENT:02}%"
