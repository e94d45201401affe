"""What an experiment should reach."""

import msgspec


class Target(msgspec.Struct, frozen=True):
    """A bound on a value, and whether it was met; a missed target is a result too."""

    name: str
    bound: str
    value: float
    met: bool


def at_most(name: str, value: float, bound: float) -> Target:
    """Return the target that a value is at most the bound."""
    return Target(name, f"<= {bound:g}", round(value, 5), value <= bound)


def at_least(name: str, value: float, bound: float) -> Target:
    """Return the target that a value is at least the bound."""
    return Target(name, f">= {bound:g}", round(value, 5), value >= bound)
