"""The first membership of a new deployment."""

from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.wire.fleet_hello import FleetHello


class SeedBootstrap:
    """Waits until every seed has said which data folder it has.

    All seeds make the same membership from the same words, so none of them has to
    lead, and whoever founds twice founds the same. A process that does not start the
    deployment, or is no seed, never founds: it asks to be taken in. A seed goes on to
    say which folder it has after it founded, as the others may not have heard it yet.
    """

    def __init__(self, address: str, name: str, folder_id: str, seeds: tuple[str, ...]) -> None:
        self.seeds = seeds
        self.members: dict[str, Member] = {}
        self.is_seed = address in seeds
        self.add_seed(address, name, folder_id)

    def on_hello(self, hello: FleetHello) -> None:
        """Take in what a control instance says of itself."""
        if hello.founding:
            self.add_seed(hello.instance.address, hello.instance.name, hello.folder_id)

    def add_seed(self, address: str, name: str, folder_id: str) -> None:
        """Note the folder of a seed."""
        if address in self.seeds:
            self.members[address] = Member(name, folder_id, voter=True)

    def initial_membership(self) -> MembershipSet | None:
        """Return the first membership once all seeds are known."""
        if not self.is_seed or len(self.members) < len(self.seeds):
            return None
        return MembershipSet(tuple(sorted(self.members.values())))
