"""The answer of a control instance to the heartbeat of an entry instance."""

import msgspec

from spindle_decisions.wire.fleet_instance import FleetInstance
from spindle_decisions.wire.observed_instance import ObservedInstance


class ControlBeat(msgspec.Struct, frozen=True, tag="control-beat"):
    """The versions that a control instance has, and the processes that it knows.

    `controls` is `None` if the receiver has the same control instances already, and
    `peers` if it has the same entry instances of its data centre. `entries` is the
    number of live entry instances. `quorum_age_ms` is the time since the last contact
    with a quorum, `list_age_ms` the age of the list of upstreams. `quarantine_digest` is that
    of the requests in quarantine.
    """

    control: str
    controls: tuple[ObservedInstance, ...] | None
    entries: int
    plan_version: int
    quorum_age_ms: int
    list_digest: str
    list_age_ms: int
    peers: tuple[FleetInstance, ...] | None = None
    quarantine_digest: str = ""
