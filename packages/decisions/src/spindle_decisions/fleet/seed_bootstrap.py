"""Creation of the first membership of a new deployment."""

from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.wire.fleet_hello import FleetHello


class SeedBootstrap:
    """Collects the data folder ids of all seeds and creates the first membership.

    All seeds create the same membership from the same ids, so none has to lead, and
    repeating the bootstrap has the same result. A process that does not bootstrap the
    deployment, or is no seed, creates no membership: it sends join requests. A seed continues
    to send its folder id after its bootstrap, as other seeds may not have it yet.
    """

    def __init__(self, address: str, name: str, folder_id: str, seeds: tuple[str, ...]) -> None:
        self.seeds = seeds
        self.members: dict[str, Member] = {}
        self.is_seed = address in seeds
        self.add_seed(address, name, folder_id)

    def on_hello(self, hello: FleetHello) -> None:
        """Handle the hello of a control instance."""
        if hello.founding:
            self.add_seed(hello.instance.address, hello.instance.name, hello.folder_id)

    def add_seed(self, address: str, name: str, folder_id: str) -> None:
        """Record the data folder id of a seed; ignores other addresses."""
        if address in self.seeds:
            self.members[address] = Member(name, folder_id, voter=True)

    def initial_membership(self) -> MembershipSet | None:
        """Return the first membership once all seeds are known, else `None`."""
        if not self.is_seed or len(self.members) < len(self.seeds):
            return None
        return MembershipSet(tuple(sorted(self.members.values())))
