"""The status of one data centre."""

import msgspec


class DataCenterStatus(msgspec.Struct, frozen=True):
    """The status of the entry instances of one data centre.

    `version` is the highest version that all of them confirmed. `unconfirmed`
    names those that have not confirmed the newest version, `unresponsive` those that
    are suspected to have failed. `in_force` is true if there are instances and both are
    empty. `oldest_age_ms` is the longest time since the last heartbeat of one of them.
    """

    data_center: str
    version: int
    instances: int
    in_force: bool
    unconfirmed: tuple[str, ...]
    unresponsive: tuple[str, ...] = msgspec.field(name="silent")
    oldest_age_ms: int
