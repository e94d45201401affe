"""What control instances tell each other about themselves and the fleet."""

import msgspec

from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class FleetHello(msgspec.Struct, frozen=True, tag="fleet-hello"):
    """Sent to every control instance that is known, and to the seeds.

    `folder_id` names the data folder; `founding` says that the sender is a seed that
    was started to found the deployment. The list of upstreams is named by its digest
    and its age.

    `heard` has every process that the sender heard lately, for a receiver that does
    not hold the set of that digest yet; any other gets their ages only, in the order
    of `heard`. `holds` tells whose sets the sender holds: digests by name.
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
