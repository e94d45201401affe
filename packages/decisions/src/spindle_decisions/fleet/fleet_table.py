"""Which processes of the fleet were heard, and when."""

from spindle_decisions.fleet import const
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.heard_instance import HeardInstance


class FleetTable:
    """Every process by name, with the time at which anybody heard it last.

    The newest word of a process wins, whoever tells of it. Incarnations do not order
    starts, as they come from wall clocks, which may jump back between two of them.
    """

    def __init__(self) -> None:
        self.instances: dict[str, FleetInstance] = {}
        self.last_seen_at: dict[str, float] = {}
        self.directly_seen_at: dict[str, float] = {}

    def observe(self, now: float, instance: FleetInstance) -> None:
        """Note that a process was heard here at `now`."""
        self._update(now, instance)
        self.directly_seen_at[instance.name] = now

    def _update(self, now: float, instance: FleetInstance) -> None:
        if now < self.last_seen_at.get(instance.name, now):
            return
        self.instances[instance.name] = instance
        self.last_seen_at[instance.name] = now

    def observe_indirect(self, now: float, observed: HeardInstance) -> None:
        """Take in that another process heard a process some time ago."""
        if observed.age_ms < const.EXPIRE_AFTER_S * MS_PER_S:
            self._update(now - observed.age_ms / MS_PER_S, observed.instance)

    def remove(self, name: str) -> None:
        """Forget a process that said it leaves."""
        self.instances.pop(name, None)
        self.last_seen_at.pop(name, None)
        self.directly_seen_at.pop(name, None)

    def expire(self, now: float) -> list[FleetInstance]:
        """Forget and return the processes that were silent for long."""
        expired_names = [
            name
            for name, seen_at in self.last_seen_at.items()
            if now - seen_at > const.EXPIRE_AFTER_S
        ]
        expired = [self.instances[name] for name in expired_names]
        for name in expired_names:
            self.remove(name)
        return expired

    def age_s(self, now: float, name: str) -> float:
        """Return the seconds since a process was heard, infinity if never."""
        seen_at = self.last_seen_at.get(name)
        return float("inf") if seen_at is None else now - seen_at

    def recently_seen(self, now: float, role: str, within_s: float) -> list[FleetInstance]:
        """Return the processes of a role that were heard lately, by name."""
        return [
            self.instances[name]
            for name in sorted(self.instances)
            if self.instances[name].role == role and now - self.last_seen_at[name] <= within_s
        ]

    def refresh_role(self, now: float, role: str) -> None:
        """Take in that another process still holds the same processes of a role."""
        for name, instance in self.instances.items():
            if instance.role == role:
                self.last_seen_at[name] = max(now, self.last_seen_at[name])

    def direct_observations(self, now: float, within_s: float) -> tuple[HeardInstance, ...]:
        """Return the processes that were heard here lately, as they are told to others.

        What others told is not passed on: they tell it to everybody themselves.
        """
        return tuple(
            HeardInstance(self.instances[name], max(0, int((now - seen_at) * MS_PER_S)))
            for name, seen_at in self.directly_seen_at.items()
            if now - seen_at <= within_s and name in self.instances
        )
