"""A target of an experiment."""

import msgspec


class Target(msgspec.Struct, frozen=True):
    """A value with its bound and whether it was met; a missed target is not an error."""

    name: str
    bound: str
    value: float
    met: bool


def at_most(name: str, value: float, bound: float) -> Target:
    """Return a target that is met if the value is at most the bound."""
    return Target(name, f"<= {bound:g}", round(value, 5), value <= bound)


def at_least(name: str, value: float, bound: float) -> Target:
    """Return a target that is met if the value is at least the bound."""
    return Target(name, f">= {bound:g}", round(value, 5), value >= bound)
