"""The state of one data centre."""

import msgspec


class DataCenterStatus(msgspec.Struct, frozen=True):
    """The lowest version confirmed by all entry instances, and who lacks the newest."""

    data_center: str
    version: int
    instances: int
    in_force: bool
    unconfirmed: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    oldest_age_ms: int = 0
