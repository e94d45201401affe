"""Table of the fleet's processes and when they were last seen."""

from spindle_decisions.fleet import const
from spindle_decisions.util.units import MS_PER_S
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class FleetTable:
    """All known processes by name, with the time at which any process last saw them.

    The newest observation of a process wins, direct or indirect. Incarnations do not
    order the starts of a process: they come from wall clocks, which may jump back.
    """

    def __init__(self) -> None:
        self.instances: dict[str, FleetInstance] = {}
        self.last_seen_at: dict[str, float] = {}
        self.directly_seen_at: dict[str, float] = {}

    def observe(self, now: float, instance: FleetInstance) -> None:
        """Record a message that this process received from `instance` at `now`."""
        self._update(now, instance)
        self.directly_seen_at[instance.name] = now

    def _update(self, now: float, instance: FleetInstance) -> None:
        if now < self.last_seen_at.get(instance.name, now):
            return
        self.instances[instance.name] = instance
        self.last_seen_at[instance.name] = now

    def observe_indirect(self, now: float, observed: ObservedInstance) -> None:
        """Record an observation that another process reported with its age."""
        if observed.age_ms < const.EXPIRE_AFTER_S * MS_PER_S:
            self._update(now - observed.age_ms / MS_PER_S, observed.instance)

    def remove(self, name: str) -> None:
        """Remove a process, such as one that announced its stop."""
        self.instances.pop(name, None)
        self.last_seen_at.pop(name, None)
        self.directly_seen_at.pop(name, None)

    def expire(self, now: float) -> list[FleetInstance]:
        """Remove and return the processes that were not seen for `EXPIRE_AFTER_S`."""
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
        """Return the seconds since a process was last seen; infinity if unknown."""
        seen_at = self.last_seen_at.get(name)
        return float("inf") if seen_at is None else now - seen_at

    def recently_seen(self, now: float, role: str, within_s: float) -> list[FleetInstance]:
        """Return the processes of a role that were seen in the last `within_s`, by name."""
        return [
            self.instances[name]
            for name in sorted(self.instances)
            if self.instances[name].role == role and now - self.last_seen_at[name] <= within_s
        ]

    def refresh_role(self, now: float, role: str) -> None:
        """Record that another process reported no change of the processes of a role."""
        for name, instance in self.instances.items():
            if instance.role == role:
                self.last_seen_at[name] = max(now, self.last_seen_at[name])

    def direct_observations(self, now: float, within_s: float) -> tuple[ObservedInstance, ...]:
        """Return the processes seen directly in the last `within_s`, for other processes.

        Indirect observations are not passed on: their source sends them to all itself.
        """
        return tuple(
            ObservedInstance(self.instances[name], max(0, int((now - seen_at) * MS_PER_S)))
            for name, seen_at in self.directly_seen_at.items()
            if now - seen_at <= within_s and name in self.instances
        )
