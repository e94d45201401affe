"""The heartbeat of an instance to its control instance."""

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """An instance tells that it lives and what it holds.

    `incarnation` grows with each start of the instance. `leaving` is told
    during a planned stop, so that nobody has to guess. `mesh_address` is where
    answers go; `admin_host` and `admin_port` serve metrics and the time line.
    """

    instance: str
    incarnation: int
    data_center: str
    role: str
    mesh_address: str
    admin_host: str
    admin_port: int
    config_version: int
    config_digest: str
    leaving: bool = False
