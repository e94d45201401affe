"""The heartbeat of an entry instance to a control instance."""

import msgspec

from spindle_decisions.wire.fleet_instance import FleetInstance


class EntryBeat(msgspec.Struct, frozen=True, tag="entry-beat"):
    """Who beats and what it holds; `primary` asks for news without being asked again.

    `peers_digest` names the entry instances of its data centre that it knows of, and
    `controls_digest` the control instances that the receiver told it last.
    """

    instance: FleetInstance
    primary: bool
    plan_version: int
    list_digest: str
    leaving: bool = False
    peers_digest: str = ""
    controls_digest: str = ""
