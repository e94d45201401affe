"""The sets of processes that control instances heard, as they tell each other."""

import msgspec

from spindle_decisions.fleet.instances_digest import instances_digest
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class HeardSets:
    """Names a set by its digest to those that hold it, and sends it whole to others.

    Who is heard changes seldom, and ages always; so nearly every hello has ages only.
    """

    def __init__(self) -> None:
        self.sets: dict[str, tuple[str, tuple[FleetInstance, ...]]] = {}
        self.held_by: dict[str, str] = {}

    def holds(self) -> dict[str, str]:
        """Return the digests of the sets that are held here, by who told them."""
        return {name: digest for name, (digest, _) in self.sets.items()}

    def tell(self, hello: FleetHello, heard: tuple[ObservedInstance, ...]) -> FleetHello:
        """Return the hello with the whole set that is heard here, and what is held here."""
        digest = instances_digest(tuple(item.instance for item in heard))
        return msgspec.structs.replace(hello, heard=heard, heard_digest=digest, holds=self.holds())

    def is_held_by(self, receiver: str, digest: str) -> bool:
        """Return whether a control instance said that it holds the set of that digest."""
        return self.held_by.get(receiver) == digest

    def take(self, me: str, hello: FleetHello) -> tuple[ObservedInstance, ...]:
        """Take in a hello and return whom its sender heard; nobody if that is not known."""
        sender = hello.instance.name
        if hello.heard_digest:
            self.held_by[sender] = hello.holds.get(me, "")
        if hello.heard:
            instances = tuple(item.instance for item in hello.heard)
            self.sets[sender] = (hello.heard_digest, instances)
            return hello.heard
        digest, instances = self.sets.get(sender, ("", ()))
        if digest != hello.heard_digest or len(instances) != len(hello.ages_ms):
            return ()
        return tuple(map(ObservedInstance, instances, hello.ages_ms))

    def forget(self, name: str) -> None:
        """Forget a control instance that is gone."""
        self.sets.pop(name, None)
        self.held_by.pop(name, None)


def with_ages_only(hello: FleetHello) -> FleetHello:
    """Return the hello for a receiver that holds its set already."""
    ages_ms = tuple(item.age_ms for item in hello.heard)
    return msgspec.structs.replace(hello, heard=(), ages_ms=ages_ms)
