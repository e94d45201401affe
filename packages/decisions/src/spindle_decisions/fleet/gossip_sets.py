"""Gossip between control instances about the processes that each one sees."""

import msgspec

from spindle_decisions.fleet.instances_digest import instances_digest
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class GossipSets:
    """Replaces the set of seen processes by its digest for receivers that hold the set.

    The set changes rarely and the ages always, so nearly every hello contains only ages.
    """

    def __init__(self) -> None:
        self.sets: dict[str, tuple[str, tuple[FleetInstance, ...]]] = {}
        self.held_by: dict[str, str] = {}

    def held_digests(self) -> dict[str, str]:
        """Return the digests of the sets held here, by the name of their sender."""
        return {name: digest for name, (digest, _) in self.sets.items()}

    def with_instances(
        self, hello: FleetHello, observed: tuple[ObservedInstance, ...]
    ) -> FleetHello:
        """Return the hello with the full set seen here and the digests held here."""
        digest = instances_digest(tuple(item.instance for item in observed))
        return msgspec.structs.replace(
            hello, heard=observed, heard_digest=digest, holds=self.held_digests()
        )

    def is_held_by(self, receiver: str, digest: str) -> bool:
        """Return whether a control instance reported that it holds the set of that digest."""
        return self.held_by.get(receiver) == digest

    def receive_hello(self, own_name: str, hello: FleetHello) -> tuple[ObservedInstance, ...]:
        """Handle a hello; return the processes its sender saw, or none if its set is unknown."""
        sender = hello.instance.name
        if hello.heard_digest:
            self.held_by[sender] = hello.holds.get(own_name, "")
        if hello.heard:
            instances = tuple(item.instance for item in hello.heard)
            self.sets[sender] = (hello.heard_digest, instances)
            return hello.heard
        digest, instances = self.sets.get(sender, ("", ()))
        if digest != hello.heard_digest or len(instances) != len(hello.ages_ms):
            return ()
        return tuple(map(ObservedInstance, instances, hello.ages_ms))

    def remove_peer(self, name: str) -> None:
        """Remove a control instance that is gone."""
        self.sets.pop(name, None)
        self.held_by.pop(name, None)


def without_instances(hello: FleetHello) -> FleetHello:
    """Return the hello with ages only, for a receiver that already holds its set."""
    ages_ms = tuple(item.age_ms for item in hello.heard)
    return msgspec.structs.replace(hello, heard=(), ages_ms=ages_ms)
