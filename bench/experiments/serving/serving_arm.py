"""One arm of a serving experiment."""

from dataclasses import dataclass

Pairs = tuple[tuple[str, str], ...]

NAIVE: Pairs = (("policy", "naive"),)
TIER: Pairs = ()
SHARES_OFF = ("shares", "off")


@dataclass(frozen=True)
class ServingArm:
    """The name of an arm and its settings in the section `[serving]`."""

    name: str
    serving: Pairs

    @property
    def shares(self) -> bool:
        """Whether the entries divide the connections to each upstream among themselves."""
        return self.serving != NAIVE and SHARES_OFF not in self.serving


def arms_without(*switches: str) -> tuple[ServingArm, ...]:
    """Return the arms naive, without the mechanisms `switches`, and tier with its defaults."""
    off = tuple((name, "off") for name in switches)
    return (ServingArm("naive", NAIVE), ServingArm("without", off), ServingArm("tier", TIER))
