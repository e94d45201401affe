"""The hello by which control instances exchange the state of the fleet."""

import msgspec

from spindle_decisions.consensus.member import Member
from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class FleetHello(msgspec.Struct, frozen=True, tag="fleet-hello"):
    """Sent to every known control instance and to the seeds.

    `folder_id` is the id of the data folder; `founding` is true if the sender is a
    seed that was started to bootstrap the deployment, and `first_members` the membership
    that it has created. `list_digest` and `list_age_ms`
    describe the list of upstreams that the sender has.

    `heard` contains every process that the sender has recently observed directly. It
    is sent only to a receiver that does not have the set with `heard_digest` yet; any
    other receives `ages_ms` instead, in the order of that set. `holds` maps the names
    of control instances to the digests of the sets that the sender has from them.
    """

    instance: FleetInstance
    folder_id: str
    founding: bool
    heard: tuple[ObservedInstance, ...]
    list_digest: str = ""
    list_age_ms: int = 0
    heard_digest: str = ""
    ages_ms: tuple[int, ...] = ()
    holds: dict[str, str] = {}
    first_members: tuple[Member, ...] = ()
