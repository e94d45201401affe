"""Which processes of the fleet were heard, and when."""

from spindle_decisions.fleet import const
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class FleetTable:
    """Every process by name, with the time at which anybody heard it last.

    The newest word of a process wins, whoever tells of it. Incarnations do not order
    starts, as they come from wall clocks, which may jump back between two of them.
    """

    def __init__(self) -> None:
        self.instances: dict[str, FleetInstance] = {}
        self.heard_at: dict[str, float] = {}
        self.direct_at: dict[str, float] = {}

    def heard(self, now: float, instance: FleetInstance) -> None:
        """Note that a process was heard here at `now`."""
        self._word(now, instance)
        self.direct_at[instance.name] = now

    def _word(self, now: float, instance: FleetInstance) -> None:
        if now < self.heard_at.get(instance.name, now):
            return
        self.instances[instance.name] = instance
        self.heard_at[instance.name] = now

    def told(self, now: float, heard: ObservedInstance) -> None:
        """Take in that another process heard a process some time ago."""
        if heard.age_ms < const.FORGET_S * MS_PER_S:
            self._word(now - heard.age_ms / MS_PER_S, heard.instance)

    def left(self, name: str) -> None:
        """Forget a process that said it leaves."""
        self.instances.pop(name, None)
        self.heard_at.pop(name, None)
        self.direct_at.pop(name, None)

    def expire(self, now: float) -> list[FleetInstance]:
        """Forget and return the processes that were silent for long."""
        gone = [name for name, at in self.heard_at.items() if now - at > const.FORGET_S]
        expired = [self.instances[name] for name in gone]
        for name in gone:
            self.left(name)
        return expired

    def age(self, now: float, name: str) -> float:
        """Return the seconds since a process was heard, infinity if never."""
        at = self.heard_at.get(name)
        return float("inf") if at is None else now - at

    def lately(self, now: float, role: str, within_s: float) -> list[FleetInstance]:
        """Return the processes of a role that were heard lately, by name."""
        return [
            self.instances[name]
            for name in sorted(self.instances)
            if self.instances[name].role == role and now - self.heard_at[name] <= within_s
        ]

    def confirm(self, now: float, role: str) -> None:
        """Take in that another process still holds the same processes of a role."""
        for name, instance in self.instances.items():
            if instance.role == role:
                self.heard_at[name] = max(now, self.heard_at[name])

    def told_here(self, now: float, within_s: float) -> tuple[ObservedInstance, ...]:
        """Return the processes that were heard here lately, as they are told to others.

        What others told is not passed on: they tell it to everybody themselves.
        """
        return tuple(
            ObservedInstance(self.instances[name], max(0, int((now - at) * MS_PER_S)))
            for name, at in self.direct_at.items()
            if now - at <= within_s and name in self.instances
        )
