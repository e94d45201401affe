"""The figures of one arm."""

Figure = bool | int | float | str | list[float] | dict[str, int] | dict[str, float] | dict[str, str]

Figures = dict[str, Figure]


def number(figures: Figures, name: str) -> float:
    """Return a numeric figure; raise `KeyError` if it is missing, `TypeError` if not a number."""
    value = figures[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"figure {name} is {value!r}, not a number")
    return float(value)
