"""The sets of processes that control instances heard, as they tell each other."""

from spindle_decisions.fleet.instances_digest import instances_digest
from spindle_decisions.wire.fleet_hello import FleetHello
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.heard_instance import HeardInstance


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

    def tell(
        self, receiver: str, heard: tuple[HeardInstance, ...]
    ) -> tuple[str, tuple[HeardInstance, ...], tuple[int, ...]]:
        """Return digest, set and ages as the receiver is to get them."""
        digest = instances_digest(tuple(item.instance for item in heard))
        if self.held_by.get(receiver) != digest:
            return digest, heard, ()
        return digest, (), tuple(item.age_ms for item in heard)

    def take(self, me: str, hello: FleetHello) -> tuple[HeardInstance, ...]:
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
        return tuple(map(HeardInstance, instances, hello.ages_ms))

    def forget(self, name: str) -> None:
        """Forget a control instance that is gone."""
        self.sets.pop(name, None)
        self.held_by.pop(name, None)
