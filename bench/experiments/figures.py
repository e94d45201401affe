"""The figures of one arm."""

Figure = bool | int | float | str | list[float] | dict[str, int] | dict[str, float] | dict[str, str]

Figures = dict[str, Figure]


def number(figures: Figures, name: str) -> float:
    """Return a figure that is a number; raise `KeyError` or `TypeError` when it is not."""
    value = figures[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is {value!r}, not a number")
    return float(value)
