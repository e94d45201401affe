"""The heartbeat of an entry instance to a control instance."""

import msgspec

from spindle_decisions.wire.fleet_instance import FleetInstance


class EntryBeat(msgspec.Struct, frozen=True, tag="entry-beat"):
    """The sender of the heartbeat and the versions that it has.

    `primary` is true if the receiver is the primary control instance of the sender,
    which pushes a newer plan or list without waiting for a heartbeat. `peers_digest` is the
    digest of the entry instances of its data centre that the sender knows, and
    `controls_digest` that of the control instances last reported by the receiver.
    `quarantine_digest` is that of the requests in quarantine.
    """

    instance: FleetInstance
    primary: bool
    plan_version: int
    list_digest: str
    leaving: bool = False
    peers_digest: str = ""
    controls_digest: str = ""
    quarantine_digest: str = ""
