"""The state of one data centre."""

import msgspec


class DataCenterStatus(msgspec.Struct, frozen=True):
    """The entry instances of one data centre.

    `version` is the lowest version that all of them confirmed; `unconfirmed`
    names those that have not confirmed the newest one, `silent` those that
    are suspected.
    """

    data_center: str
    version: int
    instances: int
    in_force: bool
    unconfirmed: tuple[str, ...]
    silent: tuple[str, ...]
    oldest_age_ms: int
