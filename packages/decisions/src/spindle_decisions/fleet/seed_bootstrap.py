"""Creation of the first membership of a new deployment."""

from spindle_decisions.consensus.member import Member
from spindle_decisions.consensus.membership_set import MembershipSet
from spindle_decisions.fleet.const import ABSENT_SEED_TIMEOUT_S
from spindle_decisions.wire.fleet_hello import FleetHello

ABSENT_PREFIX = "absent "


class SeedBootstrap:
    """Collects the data folder ids of the seeds and creates the first membership.

    All seeds create the same membership from the same ids, so none has to lead, and
    repeating the bootstrap has the same result. A process that does not bootstrap the
    deployment, or is no seed, creates no membership: it sends join requests. A seed continues
    to send its folder id after its bootstrap, as other seeds may not have it yet.

    A seed may be lost before the others have its id. After `ABSENT_SEED_TIMEOUT_S` a majority
    of the seeds creates the membership without it: its place is taken by a voter that does
    not exist, so that a majority is as large as before. Two memberships that were created by
    different majorities thus have a seed in common in each pair of quorums, as if the messages
    of the absent one were lost. A seed sends the membership that it has created; another one
    creates no membership of its own then, and joins if it is not in it.
    """

    def __init__(
        self, address: str, name: str, folder_id: str, seeds: tuple[str, ...], now: float
    ) -> None:
        self.seeds = seeds
        self.own_member = Member(name, folder_id, voter=True)
        self.members: dict[str, Member] = {}
        self.is_seed = address in seeds
        self.absent_at = now + ABSENT_SEED_TIMEOUT_S
        self.created: MembershipSet | None = None
        self.created_elsewhere: MembershipSet | None = None
        self.add_seed(address, name, folder_id)

    def on_hello(self, hello: FleetHello) -> None:
        """Handle the hello of a control instance."""
        if not hello.founding:
            return
        self.add_seed(hello.instance.address, hello.instance.name, hello.folder_id)
        if hello.first_members and self.created_elsewhere is None:
            self.created_elsewhere = MembershipSet(hello.first_members)

    def add_seed(self, address: str, name: str, folder_id: str) -> None:
        """Record the data folder id of a seed; ignores other addresses."""
        if address in self.seeds:
            self.members[address] = Member(name, folder_id, voter=True)

    def initial_membership(self, now: float) -> MembershipSet | None:
        """Return the first membership once it can be created, else `None`."""
        if not self.is_seed or self.created is not None:
            return self.created
        if self.created_elsewhere is not None:
            is_included = self.own_member in self.created_elsewhere.members
            self.created = self.created_elsewhere if is_included else None
        elif len(self.members) == len(self.seeds) or (
            now >= self.absent_at and 2 * len(self.members) > len(self.seeds)
        ):
            absent = (
                Member(f"{ABSENT_PREFIX}{address}", "", voter=True)
                for address in self.seeds
                if address not in self.members
            )
            self.created = MembershipSet(tuple(sorted((*self.members.values(), *absent))))
        return self.created
