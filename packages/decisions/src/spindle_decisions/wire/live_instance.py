"""An instance as the membership sees it."""

import msgspec


class LiveInstance(msgspec.Struct, frozen=True):
    """An instance believed to live or to be leaving."""

    instance: str
    incarnation: int
    data_center: str
    role: str
    mesh_address: str
    admin_host: str
    admin_port: int
    config_version: int
    config_digest: str
    leaving: bool
    age_ms: int
